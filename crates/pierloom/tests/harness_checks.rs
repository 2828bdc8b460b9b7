//! Checks of the test harness itself: a fault in it looks like a fault of the program.

#![allow(clippy::disallowed_types, clippy::disallowed_methods)] // peers of the real program, on real sockets

#[allow(dead_code)] // each test program uses only a part of the harness
mod harness;

use harness::write_config_file;

// Guards against a proxy that reads the config of another one, because copies of a test run at once. Copies in
// other processes differ in the process id, and calls within a process in a number.
#[test]
fn config_files_of_equal_name_are_separate() {
    let [first, second] = ["first", "second"].map(|text| write_config_file("equal", text));
    assert_eq!(std::fs::read_to_string(&first).unwrap(), "first");
    drop(second);
    assert!(first.exists());
    let folder = first.parent().unwrap().to_str().unwrap();
    assert!(folder.contains(&format!("equal-{}-", std::process::id())), "{folder}");
}
