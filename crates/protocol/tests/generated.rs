//! Guards against committed generated code that no longer matches `proto/peer.proto`.

use std::{env, fs, path::Path};

/// Fails when `peer.proto` changes and the generated code is not updated.
///
/// `UPDATE_GENERATED=1` writes the newly generated code first.
#[test]
fn generated_code_matches_proto() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let out = env::temp_dir().join(format!("pollenshed-generated-{}", std::process::id()));
    fs::create_dir_all(&out).unwrap();
    let files = protox::compile([root.join("proto/peer.proto")], [root.join("proto")]).unwrap();
    tonic_prost_build::configure().out_dir(&out).bytes(".").compile_fds(files).unwrap();
    let name = "pollenshed.peer.v1.rs";
    let fresh = fs::read_to_string(out.join(name)).unwrap();
    fs::remove_dir_all(&out).unwrap();
    let committed = root.join("src/generated").join(name);
    if env::var_os("UPDATE_GENERATED").is_some() {
        fs::write(&committed, &fresh).unwrap();
    }
    let text = fs::read_to_string(&committed).unwrap_or_default();
    assert!(text == fresh, "run UPDATE_GENERATED=1 cargo test -p pollenshed-protocol");
}
