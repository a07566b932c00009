//! The parser of both lists, which names every fault in one pass.

use crate::{
    Account, Call, Digest, Lists, Model, Operator, Plan, Service,
    error::Faults,
    read::{Placed, Reader, Section, count, named},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};
use toml::de::{DeTable, DeValue};

/// The longest text of both lists, in bytes.
pub const MAX_TEXT_BYTES: usize = 256 << 10;

/// The most instances in a replica.
pub const MAX_MEMBERS: u32 = 64;

/// The largest weight.
pub const MAX_WEIGHT: u32 = 1_000_000;

/// The largest rate or limit, per second or at once.
const MAX_LIMIT: u32 = 1_000_000_000;

/// The most keys of an account, or tokens of an operator: old and new.
const MAX_SECRETS: usize = 2;

/// What a name must look like.
const NAME: &str = "a name: 1 to 100 letters, digits, '.', '_', ':', '/' or '-'";

/// What a hash must look like.
const HASH: &str = "a SHA-256 hash: 64 lower-case hexadecimal digits";

/// Names that the text declares, and names that it refers to.
#[derive(Default)]
struct Names {
    plans: BTreeSet<String>,
    models: BTreeSet<String>,
    services: BTreeSet<String>,
    secrets: BTreeSet<Digest>,
    plan_uses: Vec<Placed<String>>,
    model_uses: Vec<Placed<String>>,
    service_uses: Vec<Placed<String>>,
    adapter_places: Vec<Placed<String>>,
}

/// Reads both lists from TOML.
///
/// # Errors
///
/// Returns every fault of the text, by line.
pub fn parse(text: &str) -> Result<Lists, Faults> {
    let mut reader = Reader::new(text);
    let mut lists = Lists::default();
    if text.len() > MAX_TEXT_BYTES {
        reader.fault(0, "", format!("at most {MAX_TEXT_BYTES} bytes of text"));
    } else {
        let (document, errors) = DeTable::parse_recoverable(text);
        for error in &errors {
            let at = error.span().map_or(0, |span| span.start);
            reader.fault(at, "", format!("TOML: {}", error.message()));
        }
        // What follows a syntax fault is guesswork, so it is reported alone.
        if errors.is_empty() {
            read_document(&mut reader, document.get_ref(), &mut lists);
        }
    }
    match reader.finish() {
        Some(faults) => Err(faults),
        None => Ok(lists),
    }
}

/// Reads every section and then checks the references between them.
fn read_document<'a>(reader: &mut Reader<'_>, document: &'a DeTable<'a>, lists: &mut Lists) {
    let mut root = Section::new(document, String::new(), 0);
    let mut names = Names::default();
    for mut section in root.sections(reader, "account") {
        read_account(reader, &mut section, lists, &mut names);
        section.finish(reader);
    }
    for mut section in root.sections(reader, "operator") {
        read_operator(reader, &mut section, lists, &mut names);
        section.finish(reader);
    }
    for mut section in root.sections(reader, "plan") {
        read_plan(reader, &mut section, lists, &mut names);
        section.finish(reader);
    }
    for mut section in root.sections(reader, "model") {
        read_model(reader, &mut section, lists, &mut names);
        section.finish(reader);
    }
    for mut section in root.sections(reader, "service") {
        read_service(reader, &mut section, lists, &mut names);
        section.finish(reader);
    }
    root.finish(reader);
    check_references(reader, &names);
}

/// Reads a section's name and notes a second one with the same name.
fn read_name(
    reader: &mut Reader<'_>,
    section: &mut Section<'_>,
    is_new: impl FnOnce(&str) -> bool,
) -> Option<String> {
    let valid: name::Account = section.required(reader, "name", NAME, named)?;
    if is_new(valid.as_str()) {
        return Some(valid.into());
    }
    let key = section.key("name");
    reader.fault(
        section.at,
        &key,
        "a name that no other section of the kind has",
    );
    None
}

fn read_account(
    reader: &mut Reader<'_>,
    section: &mut Section<'_>,
    lists: &mut Lists,
    names: &mut Names,
) {
    let name = read_name(reader, section, |name| {
        name::Account::try_from(name).is_ok_and(|name| !lists.accounts.contains_key(&name))
    });
    let plan = section.required(reader, "plan", "the name of a plan", text);
    if let (Some(plan), Some(value)) = (&plan, section.take("plan")) {
        names.plan_uses.push(Placed {
            value: plan.clone(),
            at: value.span().start,
            key: section.key("plan"),
        });
    }
    let keys = read_secrets(reader, section, "keys", names);
    if let Some(name) = name.and_then(|name| name::Account::try_from(name).ok()) {
        let plan = plan.unwrap_or_default().into();
        lists.accounts.insert(name, Account { plan, keys });
    }
}

fn read_operator(
    reader: &mut Reader<'_>,
    section: &mut Section<'_>,
    lists: &mut Lists,
    names: &mut Names,
) {
    let name = read_name(reader, section, |name| !lists.operators.contains_key(name));
    let tokens = read_secrets(reader, section, "tokens", names);
    if let Some(name) = name {
        lists.operators.insert(name.into(), Operator { tokens });
    }
}

/// Reads the hashes of keys or tokens, none of which may stand twice.
fn read_secrets(
    reader: &mut Reader<'_>,
    section: &mut Section<'_>,
    key: &'static str,
    names: &mut Names,
) -> Vec<Digest> {
    let faults_key = section.key(key);
    let hashes = section.list(reader, key, HASH, hash);
    let found = section
        .take(key)
        .and_then(|value| value.get_ref().as_array())
        .map_or(0, |items| items.len());
    if !(1..=MAX_SECRETS).contains(&found) {
        reader.fault(
            section.at,
            &faults_key,
            format!("1 to {MAX_SECRETS} hashes"),
        );
    }
    let mut out = Vec::with_capacity(hashes.len());
    for Placed { value, at, key } in hashes {
        if !names.secrets.insert(value.clone()) {
            reader.fault(at, &key, "a hash that stands only once in the lists");
        }
        out.push(value);
    }
    out
}

fn read_plan(
    reader: &mut Reader<'_>,
    section: &mut Section<'_>,
    lists: &mut Lists,
    names: &mut Names,
) {
    let name = read_name(reader, section, |name| !names.plans.contains(name));
    let mut limit = |key| {
        let expected = format!("a number from 1 to {MAX_LIMIT}");
        section
            .required(reader, key, &expected, count(1, MAX_LIMIT))
            .unwrap_or_default()
    };
    let tokens_per_s = limit("tokens_per_s");
    let requests_per_s = limit("requests_per_s");
    let concurrency = limit("concurrency");
    let weight = read_weight(reader, section);
    let classes: Vec<Placed<name::Class>> =
        section.list(reader, "classes", NAME, named::<name::Class>);
    if classes.is_empty() {
        let key = section.key("classes");
        reader.fault(section.at, &key, "at least one class, most urgent first");
    }
    let models = section.list(reader, "models", NAME, named::<name::Model>);
    let services = section.list(reader, "services", NAME, named::<name::Service>);
    names.model_uses.extend(models.iter().map(as_text));
    names.service_uses.extend(services.iter().map(as_text));
    let plan = Plan {
        weight,
        tokens_per_s,
        requests_per_s,
        concurrency,
        classes: distinct(reader, classes),
        models: distinct(reader, models),
        services: distinct(reader, services),
    };
    if let Some(name) = name {
        names.plans.insert(name.clone());
        lists.plans.insert(name.into(), plan);
    }
}

fn read_model(
    reader: &mut Reader<'_>,
    section: &mut Section<'_>,
    lists: &mut Lists,
    names: &mut Names,
) {
    let name = read_name(reader, section, |name| !names.models.contains(name));
    let version = section.required(reader, "version", NAME, named::<name::Model>);
    let expected = format!("a number of instances from 1 to {MAX_MEMBERS}");
    let members = section.required(reader, "members", &expected, count(1, MAX_MEMBERS));
    let weight = read_weight(reader, section);
    let adapters = section.list(reader, "adapters", NAME, named::<name::Model>);
    names.adapter_places.extend(adapters.iter().map(as_text));
    let model = Model {
        version: version.map(String::from).unwrap_or_default().into(),
        members: members.unwrap_or_default(),
        weight,
        adapters: adapters.into_iter().map(|adapter| adapter.value).collect(),
    };
    if let Some(name) = name {
        names.models.insert(name.clone());
        if let Ok(name) = name::Model::try_from(name) {
            lists.models.insert(name, model);
        }
    }
}

fn read_service(
    reader: &mut Reader<'_>,
    section: &mut Section<'_>,
    lists: &mut Lists,
    names: &mut Names,
) {
    let name = read_name(reader, section, |name| !names.services.contains(name));
    let calls = read_calls(reader, section);
    if let Some(name) = name {
        names.services.insert(name.clone());
        if let Ok(name) = name::Service::try_from(name) {
            lists.services.insert(name, Service { calls });
        }
    }
}

fn read_calls(reader: &mut Reader<'_>, section: &mut Section<'_>) -> BTreeMap<Arc<str>, Call> {
    let path = section.key("calls");
    let table = section
        .take("calls")
        .map(|value| (value.span().start, value));
    let mut calls = BTreeMap::new();
    let fields = table.and_then(|(_, value)| value.get_ref().as_table());
    let Some(fields) = fields.filter(|fields| !fields.is_empty()) else {
        let at = table.map_or(section.at, |(at, _)| at);
        reader.fault(at, &path, "a table with at least one call");
        return calls;
    };
    for (key, value) in fields {
        let (call, at) = (key.get_ref(), value.span().start);
        let path = format!("{path}.{call}");
        if name::Service::try_from(call.as_ref()).is_err() {
            reader.fault(key.span().start, &path, NAME);
        }
        let Some(fields) = value.get_ref().as_table() else {
            reader.fault(at, &path, "a table with idempotent and weight");
            continue;
        };
        let mut inner = Section::new(fields, path, at);
        let idempotent = inner.optional(reader, "idempotent", "true or false", flag);
        let weight = read_weight(reader, &mut inner);
        inner.finish(reader);
        let idempotent = idempotent.flatten().unwrap_or(false);
        calls.insert(Arc::from(call.as_ref()), Call { idempotent, weight });
    }
    calls
}

/// Reads a weight, 1 if absent.
fn read_weight(reader: &mut Reader<'_>, section: &mut Section<'_>) -> u32 {
    let expected = format!("a weight from 1 to {MAX_WEIGHT}");
    section
        .optional(reader, "weight", &expected, count(1, MAX_WEIGHT))
        .flatten()
        .unwrap_or(1)
}

/// Notes names that stand twice or that nothing declares.
fn check_references(reader: &mut Reader<'_>, names: &Names) {
    let mut adapters = BTreeSet::new();
    for adapter in &names.adapter_places {
        let taken = names.models.contains(&adapter.value) || !adapters.insert(&adapter.value);
        if taken {
            let expected = format!("an adapter name used once; {} is taken", adapter.value);
            reader.fault(adapter.at, &adapter.key, expected);
        }
    }
    let declared = |name: &String| names.models.contains(name) || adapters.contains(name);
    check_uses(reader, &names.model_uses, "model or adapter", declared);
    let declared = |name: &String| names.plans.contains(name);
    check_uses(reader, &names.plan_uses, "plan", declared);
    let declared = |name: &String| names.services.contains(name);
    check_uses(reader, &names.service_uses, "service", declared);
}

fn check_uses(
    reader: &mut Reader<'_>,
    uses: &[Placed<String>],
    kind: &str,
    declared: impl Fn(&String) -> bool,
) {
    for used in uses.iter().filter(|used| !declared(&used.value)) {
        let expected = format!("a declared {kind}; {:?} is unknown", used.value);
        reader.fault(used.at, &used.key, expected);
    }
}

/// Returns the values, noting those that stand twice.
fn distinct<T: Clone + Ord>(reader: &mut Reader<'_>, items: Vec<Placed<T>>) -> Vec<T> {
    let mut seen = BTreeSet::new();
    let mut out = Vec::with_capacity(items.len());
    for Placed { value, at, key } in items {
        if seen.insert(value.clone()) {
            out.push(value);
        } else {
            reader.fault(at, &key, "each name once");
        }
    }
    out
}

/// Returns a copy of a placed name as text.
fn as_text<T: Clone + Into<String>>(placed: &Placed<T>) -> Placed<String> {
    Placed {
        value: placed.value.clone().into(),
        at: placed.at,
        key: placed.key.clone(),
    }
}

fn flag(value: &DeValue<'_>) -> Option<bool> {
    value.as_bool()
}

fn text(value: &DeValue<'_>) -> Option<String> {
    value.as_str().map(String::from)
}

fn hash(value: &DeValue<'_>) -> Option<Digest> {
    let text = value.as_str()?;
    let is_hash = text.len() == 64 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    is_hash.then(|| Digest(text.into()))
}
