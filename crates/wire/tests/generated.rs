//! Checks that the committed code is what the message definition generates.

use std::{env, fs, path::Path};

/// The environment variable that makes the test rewrite the committed code.
const BLESS_VARIABLE: &str = "ARBUTUSFORD_BLESS";

#[test]
fn committed_code_matches_definition() {
    let crate_dir = Path::new(env!("CARGO_MANIFEST_DIR"));
    let out_dir = env::temp_dir().join(format!("arbutusford-wire-{}", std::process::id()));
    fs::create_dir_all(&out_dir).expect("a temporary directory can be made");
    let descriptors = protox::compile(["peer.proto"], [crate_dir.join("proto")])
        .expect("the definition compiles");
    tonic_prost_build::configure()
        .out_dir(&out_dir)
        .compile_fds(descriptors)
        .expect("the code is generated");
    let generated = fs::read_to_string(out_dir.join("arbutusford.peer.rs"))
        .expect("the generated file is readable");
    fs::remove_dir_all(&out_dir).expect("the temporary directory can be removed");
    let source_path = crate_dir.join("src/generated.rs");
    if env::var_os(BLESS_VARIABLE).is_some() {
        fs::write(&source_path, &generated).expect("the source folder is writable");
    }
    let source = fs::read_to_string(&source_path).expect("the committed file is readable");
    assert!(
        source == generated,
        "src/generated.rs is stale; run with {BLESS_VARIABLE}=1"
    );
}
