//! Limits on the source of `logic.rs`, which must stay readable from top to bottom.

/// Maximum number of lines that are not blank.
const MAX_NON_BLANK_LINES: usize = 730;
const MAX_LINE_CHARS: usize = 110;

/// Guards against decisions that grow too long to be read as a whole, and against a reader who does not find
/// the interface.
#[test]
fn logic_rs_stays_within_its_line_limits_and_names_api_rs_in_its_head() {
    let text = include_str!("../src/logic.rs");
    let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
    assert!(lines <= MAX_NON_BLANK_LINES, "{lines} lines");
    for (n, line) in text.lines().enumerate() {
        assert!(line.chars().count() <= MAX_LINE_CHARS, "line {} is too long", n + 1);
    }
    assert!(
        text.lines().take(3).any(|line| line.contains("src/api.rs")),
        "the head does not name src/api.rs, the interface"
    );
}
