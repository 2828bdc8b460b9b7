//! Tests of the bench's line protocol: strict parsing, one-line errors, exact output, and the adapter as a
//! process.

use pierloom_decision::*;
use pierloom_wire::{self as wire, Line};
use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Settings with two keys that the parser ignores.
const SETTINGS: &str = r#"{"balancers": 2, "zone": "a", "zones": ["a", "b"], "membership-mode": "push",
 "unheard-of": {"x": 1}, "over-share-worth": null, "weights": "nominal",
 "bounds": {"max-attempts": 3, "connect-timeout": 0.25, "retry-after": true, "max-retry-after": 2.0},
 "classes": [{"name": "feed", "target": 0.3, "deadline": 1.2, "effect": "repeatable", "group": "all"}]}"#;

/// The settings on one line, as `INIT` carries them.
fn settings_json() -> String {
    SETTINGS.replace('\n', "")
}

/// Runs the adapter on this input until it ends.
fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_pierloom-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(input.as_bytes()).unwrap();
    child.wait_with_output().unwrap()
}

/// Guards against a stated setting that is lost, a default that replaces it, and unknown keys or nulls that
/// are refused.
#[test]
fn stated_settings_are_kept_and_others_get_defaults() {
    let (settings, _) = wire::parse_settings(&settings_json()).unwrap();
    assert_eq!(settings.proxies, 2);
    assert_eq!(settings.classes[0].deadline, 1_200_000);
    assert_eq!(settings.connect_timeout, 250_000);
    assert_eq!(settings.slow_start_duration, Settings::default().slow_start_duration);
    assert!(!settings.ask_for_list && settings.sized_weights && settings.retry_after);
}

/// Guards against an error about settings that does not say which key is missing or invalid.
#[test]
fn missing_or_invalid_settings_are_refused_with_the_key_named() {
    let error = wire::parse_settings(r#"{"balancers": 2}"#).unwrap_err();
    assert!(error.contains("classes"), "{error}");
    let error = wire::parse_settings(&settings_json().replace("repeatable", "maybe")).unwrap_err();
    assert!(error.contains("effect"), "{error}");
}

/// Guards against optional settings that are ignored where they are stated, or accepted with an invalid
/// value.
#[test]
fn optional_contract_and_goal_settings_are_read_and_checked() {
    let with = |more: &str| settings_json().replace("\"weights\"", &format!("{more}, \"weights\""));
    let contract = r#""contract": {"extra-free": 3, "repeat-ratio": 0.03, "ratio-span": 5.0,
        "removal-not-binding": true}, "goal": {"nines-part": 0.2, "top-nines": 2.0}"#;
    let (settings, _) = wire::parse_settings(&with(contract)).unwrap();
    assert_eq!(settings.budget, Some(RetryBudget { min_retries: 3.0, ratio: 0.03, window: 5_000_000 }));
    assert!(!settings.exclude_removed);
    let (settings, _) = wire::parse_settings(&with(r#""contract": {"extra-free": null}"#)).unwrap();
    assert_eq!((settings.budget, settings.exclude_removed), (None, true));
    for (bad, field) in [
        (r#""contract": {"extra-free": -1}"#, "contract.extra-free"),
        (r#""contract": {"repeat-ratio": "few"}"#, "contract.repeat-ratio"),
        (r#""contract": {"ratio-span": []}"#, "contract.ratio-span"),
        (r#""contract": {"removal-not-binding": 1}"#, "contract.removal-not-binding"),
        (r#""goal": {"top-nines": -2}"#, "goal.top-nines"),
    ] {
        let error = wire::parse_settings(&with(bad)).unwrap_err();
        assert!(error.contains(field) && !error.contains('\n'), "{error}");
        let out = run_adapter(&format!("MARK 1\nCONTEXT 0\nINIT 7 {}\nEOF_BATCH\n", with(bad)));
        assert!(!out.status.success(), "{field} is refused by the adapter too");
    }
}

/// Guards against a balancer that starts with a value it cannot work with, and an error that does not name
/// the value.
#[test]
fn settings_out_of_range_are_refused_and_the_field_is_named() {
    let base = Settings::default();
    let zero = Class { deadline: 0, ..base.classes[0].clone() };
    let budget = |min_retries, ratio, window| Some(RetryBudget { min_retries, ratio, window });
    for (bad, field) in [
        (Settings { proxies: 0, ..base.clone() }, "relays"),
        (Settings { classes: Vec::new(), ..base.clone() }, "classes"),
        (Settings { classes: vec![zero], ..base.clone() }, "classes[].deadline"),
        (Settings { max_attempts: 0, ..base.clone() }, "max_attempts"),
        (Settings { budget: budget(-1.0, 0.0, 1), ..base.clone() }, "budget"),
        (Settings { budget: budget(0.0, f64::NAN, 1), ..base.clone() }, "budget"),
        (Settings { budget: budget(0.0, 0.0, 0), ..base.clone() }, "budget"),
        (Settings { connect_timeout: 0, ..base.clone() }, "connect_timeout"),
        (Settings { slow_start_min_share: 1.5, ..base.clone() }, "cold_from"),
        (Settings { cross_zone_price: -0.1, ..base.clone() }, "cross_zone_price"),
        (Settings { overload_multiple: 0.0, ..base.clone() }, "fall_multiple"),
        (Settings { overload_window: 0, ..base.clone() }, "fall"),
    ] {
        assert_eq!(Balancer::new(bad, 1).err(), Some(InvalidSettings { field }));
    }
    assert!(Balancer::new(base, 1).is_ok());
    for (from, to, field) in [
        ("\"deadline\": 1.2", "\"deadline\": 0", "classes[].deadline"),
        ("\"max-attempts\": 3", "\"max-attempts\": 0", "max_attempts"),
    ] {
        let error = wire::parse_settings(&settings_json().replace(from, to)).unwrap_err();
        assert_eq!(error, format!("INIT settings: {field} is out of range"));
    }
}

/// Guards against fields of `M` and `ACCEPT` that are mixed up, and against absent values (`-`) and unknown
/// classes that are not recognized.
#[test]
fn fields_of_entries_and_requests_are_kept_and_absent_ones_are_none() {
    let (_, names) = wire::parse_settings(&settings_json()).unwrap();
    let member = wire::parse_member("M cordoned fast b 4 1.5 6.1 10.0.0.1:7000", &names).unwrap();
    assert_eq!((member.state, member.zone, member.cell), (MemberState::Draining, 1, 4));
    assert_eq!((member.weight, member.started), (1.5, 6_100_000));
    let event = wire::parse_event("ACCEPT 305 feed - user:k 8.65225 0.012 tpl/c 25", &names).unwrap();
    let Some(Event::Request(request)) = event else { panic!("{event:?}") };
    assert_eq!((request.id, request.class, request.deadline), (305, 0, 8_652_250));
    assert_eq!(request.load_hint, Some(12_000.0));
    assert!(request.mid_flow && request.reconnecting);
    let event = wire::parse_event("ACCEPT 305 other - - 8 0.012 - 0", &names).unwrap();
    let Some(Event::Request(request)) = event else { panic!("{event:?}") };
    assert_eq!((request.class, request.key, request.load_hint), (usize::MAX, None, None));
}

/// Guards against a status code that is mapped to another result, or an unknown code that is accepted.
#[test]
fn every_known_status_is_parsed_and_an_unknown_one_is_refused() {
    let (_, names) = wire::parse_settings(&settings_json()).unwrap();
    let all = [
        (200, Status::Ok),
        (502, Status::Error),
        (429, Status::Overloaded),
        (408, Status::Timeout),
        (521, Status::ConnectFailed),
        (520, Status::Reset),
        (444, Status::Cancelled),
        (409, Status::NotSent),
    ];
    for (code, status) in all {
        let text = format!("COMPLETED 7 0 0.5 10.0.0.1:7000 {code} 1 0.5,-,3");
        let Some(Event::AttemptEnded(result)) = wire::parse_event(&text, &names).unwrap() else { panic!() };
        assert_eq!((result.status, result.attempt, result.latency), (status, 1, 500_000));
    }
    let error = wire::parse_event("COMPLETED 7 0 0.5 10.0.0.1:7000 418 1 -", &names).unwrap_err();
    assert_eq!(error, "COMPLETED: field how has the bad value \"418\"");
}

/// Guards against an action whose line the bench cannot read.
#[test]
fn each_action_becomes_the_line_that_the_bench_reads() {
    let backend: BackendId = "10.0.0.1:7000".into();
    let actions = [
        Action::Send { id: 5, backend, until: 8_492_250 },
        Action::Refuse { id: 5, retry_after: Some(250_000) },
        Action::Refuse { id: 5, retry_after: None },
        Action::Fail(5),
        Action::Move(5),
        Action::Subscribe,
        Action::Timer(500_000, 77),
    ];
    let mut out = String::new();
    actions.iter().for_each(|action| wire::write_action(action, &mut out));
    let expected = "HAND_OFF 5 10.0.0.1:7000 8.492250\nREJECT 5 0.250000\nREJECT 5 -\nGIVE_UP 5\nGO_AWAY 5\n\
                    SUBSCRIBE 1\nWAKE_ME 0.500000 77\n";
    assert_eq!(out, expected);
}

/// Guards against malformed lines that are accepted, with missing, surplus or invalid fields.
#[test]
fn known_lines_are_parsed_and_malformed_ones_are_refused() {
    assert!(matches!(wire::parse_line("MARK 8.41225"), Ok(Line::Mark(8_412_250))));
    assert!(matches!(
        wire::parse_line("ROSTER_CHANGE 41 0 cached"),
        Ok(Line::ListChange(ListKind::Full, Some(0)))
    ));
    assert!(matches!(
        wire::parse_line("ROSTER_CHANGE 41 - failed"),
        Ok(Line::ListChange(ListKind::Failed, None))
    ));
    for bad in ["", "NOISE 1", "MARK", "MARK x", "MARK inf", "MARK 1 2", "CONTEXT -1", "PAGE 16 1"] {
        assert!(wire::parse_line(bad).is_err(), "{bad:?}");
    }
}

/// Guards against an adapter that loses a message between its input and the decision module, or an action on
/// the way back.
#[test]
fn a_request_after_init_and_a_list_gets_a_timer_and_an_attempt() {
    let input = format!(
        "MARK 1\nEOF_BATCH\nMARK 8\nCONTEXT 3\nINIT 9 {}\nPAGE 0 1\nM healthy fast a 0 1 - 10.0.0.1:7000\n\
         ROSTER_CHANGE 41 0 cached\nACCEPT 5 feed - user:k 9.2 - - 0\nEOF_BATCH\n\
         MARK 8.1\nCONTEXT 3\nSHUTDOWN\nEOF_BATCH\n",
        settings_json()
    );
    let output = run_adapter(&input);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let replies = String::from_utf8(output.stdout).unwrap();
    assert_eq!(replies, "EOR\nBY 3\nWAKE_ME 1.200000 0\nHAND_OFF 5 10.0.0.1:7000 8.400000\nEOR\nEOR\n");
}

/// Guards against actions of an instance that was shut down, sent in the name of the instance that replaced
/// it.
#[test]
fn a_restart_within_a_batch_drops_state_and_pending_actions() {
    let start = format!("INIT 9 {}\nPAGE 0 0\nROSTER_CHANGE 41 0 cached\n", settings_json());
    let input = format!("MARK 8\nCONTEXT 3\n{start}ACCEPT 5 feed - k 9 - - 0\nSHUTDOWN\n{start}EOF_BATCH\n");
    let output = run_adapter(&input);
    assert_eq!(String::from_utf8(output.stdout).unwrap(), "BY 3\nWAKE_ME 1.200000 0\nEOR\n");
}

/// Guards against an adapter that goes on after malformed input, or whose error does not name the message or
/// field.
#[test]
fn malformed_input_gets_one_error_line_and_a_failure_exit() {
    let start = format!("MARK 8\nCONTEXT 3\nINIT 9 {}\n", settings_json());
    for (bad, expected) in [
        ("NOISE 1\n", "NOISE"),
        ("ROSTER_CHANGE 41 7 full\n", "list"),
        ("GONE x\n", "ref"),
        ("DUE\n", "label"),
        ("FIRST_BYTE 5 0 b 0.1 9\n", "FIRST_BYTE"),
        ("CONTEXT 4\nDUE 1\n", "INIT"),
        ("M healthy fast a 0 1 - b\n", "PAGE"),
    ] {
        let output = run_adapter(&format!("{start}{bad}EOF_BATCH\n"));
        let error = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success() && output.stdout.is_empty(), "{bad}");
        assert!(error.lines().count() == 1 && error.contains(expected), "{bad}: {error}");
    }
}

/// Guards against a proxy that does not start, or divides by zero, because of an invalid number of proxies,
/// although a safe default exists.
#[test]
fn an_invalid_number_of_proxies_gets_the_default_and_one_warning() {
    let parse = |stated: &str| wire::parse_settings(&SETTINGS.replace("\"balancers\": 2,", stated)).unwrap();
    let (settings, names) = parse("\"balancers\": 100,");
    assert_eq!((settings.proxies, names.warnings.len()), (100, 0));
    for stated in ["0", "-3", "2.5", "1e12", "99999999999", "\"many\"", "[1]", "null"] {
        let (settings, names) = parse(&format!("\"balancers\": {stated},"));
        assert_eq!(settings.proxies, 1_000, "{stated}");
        assert_eq!(names.warnings.len(), 1, "{stated}");
        assert!(names.warnings[0].contains("balancers is"), "{}", names.warnings[0]);
    }
    let (settings, names) = parse("");
    assert_eq!((settings.proxies, names.warnings.len()), (1_000, 1));
    assert!(names.warnings[0].contains("balancers is not stated"), "{}", names.warnings[0]);
}

/// Guards against overflow in sums of very long times.
#[test]
fn times_beyond_thirty_years_are_capped() {
    let classes = r#""classes":[{"name":"a","target":1e300,"deadline":1e300,"window":1e308}]"#;
    let (settings, _) = pierloom_wire::parse_settings(&format!("{{\"balancers\":3,{classes}}}")).unwrap();
    let class = &settings.classes[0];
    assert_eq!([class.setup_target, class.deadline, class.repeat_window], [1_000_000_000_000_000; 3]);
}
