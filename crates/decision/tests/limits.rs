//! The decision module is read aloud: its length and its lines are bounded.

#[test]
fn the_module_stays_readable() {
    let text = include_str!("../src/logic.rs");
    let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
    assert!(lines <= 730, "{lines} lines");
    for (n, line) in text.lines().enumerate() {
        assert!(line.chars().count() <= 110, "line {} is too long", n + 1);
    }
    assert!(text.lines().take(3).any(|line| line.contains("src/api.rs")), "names its interface");
}
