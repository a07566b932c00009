//! The committed messages are those that the definition generates.

use std::{env, fs, path::Path};

/// Set to write the generated file anew.
const BLESS: &str = "ARBUTUSFORD_BLESS";

#[test]
fn committed_messages_match_their_definition() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let out = env::temp_dir().join(format!("arbutusford-wire-{}", std::process::id()));
    fs::create_dir_all(&out).expect("a temporary directory can be made");
    let descriptors = protox::compile(["peer.proto"], [root.join("proto")]).expect("compiles");
    tonic_prost_build::configure()
        .out_dir(&out)
        .compile_fds(descriptors)
        .expect("generates");
    let generated = fs::read_to_string(out.join("arbutusford.peer.rs")).expect("was generated");
    fs::remove_dir_all(&out).expect("the temporary directory can be removed");
    let committed = root.join("src/generated.rs");
    if env::var_os(BLESS).is_some() {
        fs::write(&committed, &generated).expect("the source folder is writable");
    }
    let kept = fs::read_to_string(&committed).expect("is committed");
    assert!(
        kept == generated,
        "src/generated.rs is stale; run with {BLESS}=1"
    );
}
