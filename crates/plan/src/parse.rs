//! Parser of the lists, which reports all errors in one pass.

use crate::{
    Account, Call, Digest, Lists, Model, Operator, Plan, Service,
    error::Errors,
    read::{Diagnostics, Located, Section, parse_count, parse_name},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};
use toml::de::{DeTable, DeValue};

/// The maximum length of the lists' text, in bytes.
pub const MAX_TEXT_BYTES: usize = 256 << 10;

/// The maximum number of instances in a replica.
pub const MAX_REPLICA_MEMBERS: u32 = 64;

/// The maximum weight of a plan, model or call.
pub const MAX_WEIGHT: u32 = 1_000_000;

/// The maximum of a plan's rate and concurrency limits.
const MAX_PLAN_LIMIT: u32 = 1_000_000_000;

/// The maximum number of API keys of an account or tokens of an operator.
///
/// Two allow a rotation from an old secret to a new one.
const MAX_HASHES_PER_OWNER: usize = 2;

/// The expected form of a name, for error messages.
const EXPECTED_NAME: &str = "a name: 1 to 100 letters, digits, '.', '_', ':', '/' or '-'";

/// The expected form of a hash, for error messages.
const EXPECTED_HASH: &str = "a SHA-256 hash: 64 lower-case hexadecimal digits";

/// The names that the text declares and those that it refers to.
#[derive(Default)]
struct Names {
    plans: BTreeSet<String>,
    models: BTreeSet<String>,
    services: BTreeSet<String>,
    hashes: BTreeSet<Digest>,
    plan_references: Vec<Located<String>>,
    model_references: Vec<Located<String>>,
    service_references: Vec<Located<String>>,
    adapter_declarations: Vec<Located<String>>,
}

/// Parses the lists from TOML.
///
/// # Errors
///
/// Returns all errors of the text, in the order of their lines.
pub fn parse(text: &str) -> Result<Lists, Errors> {
    let mut diagnostics = Diagnostics::new(text);
    let mut lists = Lists::default();
    if text.len() > MAX_TEXT_BYTES {
        diagnostics.report(0, "", format!("at most {MAX_TEXT_BYTES} bytes of text"));
    } else {
        let (document, errors) = DeTable::parse_recoverable(text);
        for error in &errors {
            let offset = error.span().map_or(0, |span| span.start);
            diagnostics.report(offset, "", format!("TOML: {}", error.message()));
        }
        // After a syntax error the recovered table is unreliable, so only syntax
        // errors are reported.
        if errors.is_empty() {
            read_document(&mut diagnostics, document.get_ref(), &mut lists);
        }
    }
    match diagnostics.into_errors() {
        Some(errors) => Err(errors),
        None => Ok(lists),
    }
}

/// Reads all sections and then checks the references between them.
fn read_document<'a>(
    diagnostics: &mut Diagnostics<'_>,
    document: &'a DeTable<'a>,
    lists: &mut Lists,
) {
    let mut root = Section::new(document, String::new(), 0);
    let mut names = Names::default();
    for mut section in root.table_array(diagnostics, "account") {
        read_account(diagnostics, &mut section, lists, &mut names);
        section.report_unknown_keys(diagnostics);
    }
    for mut section in root.table_array(diagnostics, "operator") {
        read_operator(diagnostics, &mut section, lists, &mut names);
        section.report_unknown_keys(diagnostics);
    }
    for mut section in root.table_array(diagnostics, "plan") {
        read_plan(diagnostics, &mut section, lists, &mut names);
        section.report_unknown_keys(diagnostics);
    }
    for mut section in root.table_array(diagnostics, "model") {
        read_model(diagnostics, &mut section, lists, &mut names);
        section.report_unknown_keys(diagnostics);
    }
    for mut section in root.table_array(diagnostics, "service") {
        read_service(diagnostics, &mut section, lists, &mut names);
        section.report_unknown_keys(diagnostics);
    }
    root.report_unknown_keys(diagnostics);
    check_references(diagnostics, &names);
}

/// Reads a section's name and reports an error if `is_new` rejects it as a duplicate.
fn read_name(
    diagnostics: &mut Diagnostics<'_>,
    section: &mut Section<'_>,
    is_new: impl FnOnce(&str) -> bool,
) -> Option<String> {
    let valid: name::Account = section.required(diagnostics, "name", EXPECTED_NAME, parse_name)?;
    if is_new(valid.as_str()) {
        return Some(valid.into());
    }
    let key = section.key_path("name");
    diagnostics.report(
        section.offset,
        &key,
        "a name that no other section of the kind has",
    );
    None
}

fn read_account(
    diagnostics: &mut Diagnostics<'_>,
    section: &mut Section<'_>,
    lists: &mut Lists,
    names: &mut Names,
) {
    let name = read_name(diagnostics, section, |name| {
        name::Account::try_from(name).is_ok_and(|name| !lists.accounts.contains_key(&name))
    });
    let plan = section.required(diagnostics, "plan", "the name of a plan", parse_string);
    if let (Some(plan), Some(value)) = (&plan, section.get("plan")) {
        names.plan_references.push(Located {
            value: plan.clone(),
            offset: value.span().start,
            key: section.key_path("plan"),
        });
    }
    let keys = read_hashes(diagnostics, section, "keys", names);
    if let Some(name) = name.and_then(|name| name::Account::try_from(name).ok()) {
        let plan = plan.unwrap_or_default().into();
        lists.accounts.insert(name, Account { plan, keys });
    }
}

fn read_operator(
    diagnostics: &mut Diagnostics<'_>,
    section: &mut Section<'_>,
    lists: &mut Lists,
    names: &mut Names,
) {
    let name = read_name(diagnostics, section, |name| {
        !lists.operators.contains_key(name)
    });
    let tokens = read_hashes(diagnostics, section, "tokens", names);
    if let Some(name) = name {
        lists.operators.insert(name.into(), Operator { tokens });
    }
}

/// Reads the hashes of keys or tokens and reports each hash that occurs twice in the lists.
fn read_hashes(
    diagnostics: &mut Diagnostics<'_>,
    section: &mut Section<'_>,
    key: &'static str,
    names: &mut Names,
) -> Vec<Digest> {
    let list_path = section.key_path(key);
    let hashes = section.list(diagnostics, key, EXPECTED_HASH, parse_hash);
    let hash_count = section
        .get(key)
        .and_then(|value| value.get_ref().as_array())
        .map_or(0, |items| items.len());
    if !(1..=MAX_HASHES_PER_OWNER).contains(&hash_count) {
        diagnostics.report(
            section.offset,
            &list_path,
            format!("1 to {MAX_HASHES_PER_OWNER} hashes"),
        );
    }
    let mut out = Vec::with_capacity(hashes.len());
    for Located { value, offset, key } in hashes {
        if !names.hashes.insert(value.clone()) {
            diagnostics.report(offset, &key, "a hash that stands only once in the lists");
        }
        out.push(value);
    }
    out
}

fn read_plan(
    diagnostics: &mut Diagnostics<'_>,
    section: &mut Section<'_>,
    lists: &mut Lists,
    names: &mut Names,
) {
    let name = read_name(diagnostics, section, |name| !names.plans.contains(name));
    let mut limit = |key| {
        let expected = format!("a number from 1 to {MAX_PLAN_LIMIT}");
        section
            .required(diagnostics, key, &expected, parse_count(1, MAX_PLAN_LIMIT))
            .unwrap_or_default()
    };
    let tokens_per_s = limit("tokens_per_s");
    let requests_per_s = limit("requests_per_s");
    let concurrency = limit("concurrency");
    let weight = read_weight(diagnostics, section);
    let classes: Vec<Located<name::Class>> = section.list(
        diagnostics,
        "classes",
        EXPECTED_NAME,
        parse_name::<name::Class>,
    );
    if classes.is_empty() {
        let key = section.key_path("classes");
        diagnostics.report(
            section.offset,
            &key,
            "at least one class, most urgent first",
        );
    }
    let models = section.list(
        diagnostics,
        "models",
        EXPECTED_NAME,
        parse_name::<name::Model>,
    );
    let services = section.list(
        diagnostics,
        "services",
        EXPECTED_NAME,
        parse_name::<name::Service>,
    );
    names
        .model_references
        .extend(models.iter().map(to_located_string));
    names
        .service_references
        .extend(services.iter().map(to_located_string));
    let plan = Plan {
        weight,
        tokens_per_s,
        requests_per_s,
        concurrency,
        classes: unique_values(diagnostics, classes),
        models: unique_values(diagnostics, models),
        services: unique_values(diagnostics, services),
    };
    if let Some(name) = name {
        names.plans.insert(name.clone());
        lists.plans.insert(name.into(), plan);
    }
}

fn read_model(
    diagnostics: &mut Diagnostics<'_>,
    section: &mut Section<'_>,
    lists: &mut Lists,
    names: &mut Names,
) {
    let name = read_name(diagnostics, section, |name| !names.models.contains(name));
    let version = section.required(
        diagnostics,
        "version",
        EXPECTED_NAME,
        parse_name::<name::Model>,
    );
    let expected = format!("a number of instances from 1 to {MAX_REPLICA_MEMBERS}");
    let members = section.required(
        diagnostics,
        "members",
        &expected,
        parse_count(1, MAX_REPLICA_MEMBERS),
    );
    let weight = read_weight(diagnostics, section);
    let adapters = section.list(
        diagnostics,
        "adapters",
        EXPECTED_NAME,
        parse_name::<name::Model>,
    );
    names
        .adapter_declarations
        .extend(adapters.iter().map(to_located_string));
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
    diagnostics: &mut Diagnostics<'_>,
    section: &mut Section<'_>,
    lists: &mut Lists,
    names: &mut Names,
) {
    let name = read_name(diagnostics, section, |name| !names.services.contains(name));
    let calls = read_calls(diagnostics, section);
    if let Some(name) = name {
        names.services.insert(name.clone());
        if let Ok(name) = name::Service::try_from(name) {
            lists.services.insert(name, Service { calls });
        }
    }
}

fn read_calls(
    diagnostics: &mut Diagnostics<'_>,
    section: &mut Section<'_>,
) -> BTreeMap<Arc<str>, Call> {
    let path = section.key_path("calls");
    let table = section
        .get("calls")
        .map(|value| (value.span().start, value));
    let mut calls = BTreeMap::new();
    let fields = table.and_then(|(_, value)| value.get_ref().as_table());
    let Some(fields) = fields.filter(|fields| !fields.is_empty()) else {
        let offset = table.map_or(section.offset, |(offset, _)| offset);
        diagnostics.report(offset, &path, "a table with at least one call");
        return calls;
    };
    for (key, value) in fields {
        let (call, offset) = (key.get_ref(), value.span().start);
        let path = format!("{path}.{call}");
        if name::Service::try_from(call.as_ref()).is_err() {
            diagnostics.report(key.span().start, &path, EXPECTED_NAME);
        }
        let Some(fields) = value.get_ref().as_table() else {
            diagnostics.report(offset, &path, "a table with idempotent and weight");
            continue;
        };
        let mut call_section = Section::new(fields, path, offset);
        let idempotent =
            call_section.optional(diagnostics, "idempotent", "true or false", parse_bool);
        let weight = read_weight(diagnostics, &mut call_section);
        call_section.report_unknown_keys(diagnostics);
        let idempotent = idempotent.flatten().unwrap_or(false);
        calls.insert(Arc::from(call.as_ref()), Call { idempotent, weight });
    }
    calls
}

/// Reads a weight; 1 if absent.
fn read_weight(diagnostics: &mut Diagnostics<'_>, section: &mut Section<'_>) -> u32 {
    let expected = format!("a weight from 1 to {MAX_WEIGHT}");
    section
        .optional(diagnostics, "weight", &expected, parse_count(1, MAX_WEIGHT))
        .flatten()
        .unwrap_or(1)
}

/// Reports adapter names that are not unique and references to undeclared names.
fn check_references(diagnostics: &mut Diagnostics<'_>, names: &Names) {
    let mut adapters = BTreeSet::new();
    for adapter in &names.adapter_declarations {
        let is_taken = names.models.contains(&adapter.value) || !adapters.insert(&adapter.value);
        if is_taken {
            let expected = format!("an adapter name used once; {} is taken", adapter.value);
            diagnostics.report(adapter.offset, &adapter.key, expected);
        }
    }
    let is_declared = |name: &String| names.models.contains(name) || adapters.contains(name);
    check_declared(
        diagnostics,
        &names.model_references,
        "model or adapter",
        is_declared,
    );
    let is_declared = |name: &String| names.plans.contains(name);
    check_declared(diagnostics, &names.plan_references, "plan", is_declared);
    let is_declared = |name: &String| names.services.contains(name);
    check_declared(
        diagnostics,
        &names.service_references,
        "service",
        is_declared,
    );
}

/// Reports each reference to a name that is not declared.
fn check_declared(
    diagnostics: &mut Diagnostics<'_>,
    references: &[Located<String>],
    kind: &str,
    is_declared: impl Fn(&String) -> bool,
) {
    for reference in references
        .iter()
        .filter(|reference| !is_declared(&reference.value))
    {
        let expected = format!("a declared {kind}; {:?} is unknown", reference.value);
        diagnostics.report(reference.offset, &reference.key, expected);
    }
}

/// Returns the distinct values and reports duplicates.
fn unique_values<T: Clone + Ord>(
    diagnostics: &mut Diagnostics<'_>,
    items: Vec<Located<T>>,
) -> Vec<T> {
    let mut seen = BTreeSet::new();
    let mut out = Vec::with_capacity(items.len());
    for Located { value, offset, key } in items {
        if seen.insert(value.clone()) {
            out.push(value);
        } else {
            diagnostics.report(offset, &key, "each name once");
        }
    }
    out
}

/// Returns `located` with its value as a string.
fn to_located_string<T: Clone + Into<String>>(located: &Located<T>) -> Located<String> {
    Located {
        value: located.value.clone().into(),
        offset: located.offset,
        key: located.key.clone(),
    }
}

fn parse_bool(value: &DeValue<'_>) -> Option<bool> {
    value.as_bool()
}

fn parse_string(value: &DeValue<'_>) -> Option<String> {
    value.as_str().map(String::from)
}

fn parse_hash(value: &DeValue<'_>) -> Option<Digest> {
    let text = value.as_str()?;
    let is_hash = text.len() == 64 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    is_hash.then(|| Digest(text.into()))
}
