use super::*;

const MOVE: &[u8] = b"MOVE\r\n";

/// A pipe whose destination has received `written` and for which `buffered` waits.
fn pipe(written: &[u8], buffered: &[u8]) -> Pipe {
    let mut pipe = Pipe::starting_with(written.to_vec());
    pipe.remove_written(written.len());
    pipe.buffer = buffered.to_vec();
    pipe
}

// Guards against a last line that waits for bytes that end with a line, or comes within a line.
#[test]
fn the_last_line_goes_behind_the_last_whole_line() {
    for (written, buffered, expected) in [
        ("", "", Some("MOVE\r\n")),
        ("a\r\n", "", Some("MOVE\r\n")),
        ("a\r\n", "b", Some("MOVE\r\n")),
        ("a\r\n", "b\r\nc", Some("b\r\nMOVE\r\n")),
        ("a\r\nb", "", None),
        ("a\r\nb", "c", None),
        ("a\r\nb", "\r\n", Some("\r\nMOVE\r\n")),
        ("a\r\nb", "c\r\nd\r\ne\r", Some("c\r\nd\r\nMOVE\r\n")),
        ("a\r", "", None),
        ("a\r", "\nb", Some("\nMOVE\r\n")),
    ] {
        let mut pipe = pipe(written.as_bytes(), buffered.as_bytes());
        let appended = pipe.append_last_line(MOVE);
        let after = String::from_utf8(pipe.buffer).unwrap();
        assert_eq!(appended.then_some(after.as_str()), expected, "{written:?}, then {buffered:?}");
    }
}

// Guards against a last line within a line whose beginning a process of an earlier version has written.
#[test]
fn a_pipe_of_an_earlier_version_has_the_destination_mid_line_where_that_is_assumed() {
    let state = r#"{"buffer":[],"ended":false,"passed_end":false}"#;
    for (mid_line, appended) in [(true, false), (false, true)] {
        let mut pipe: Pipe = serde_json::from_str(state).unwrap();
        assert!(!pipe.append_last_line(MOVE), "unknown");
        pipe.assume_destination_mid_line(mid_line);
        assert_eq!(pipe.append_last_line(MOVE), appended);
    }
}
