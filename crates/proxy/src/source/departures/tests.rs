use super::*;

fn response(kind: &str, entries: &str) -> EndpointsResponse {
    let mut text = format!(r#"{{"index":3,{kind}"endpoints":[{entries}]}}"#).into_bytes();
    simd_json::serde::from_slice(&mut text).unwrap()
}

fn names(response: &EndpointsResponse) -> Vec<&str> {
    response.entries().map(Endpoint::name).collect()
}

// Guards against a backend that stays away for good: the response that settles that it is back says nothing new
// of it, or has an entry of it that cannot be read.
#[test]
fn the_answer_to_a_later_call_brings_back_what_the_list_called_ready() {
    for (later_entries, expected) in [
        ("", vec!["n"]),
        (r#"{"name":"n","status":7}"#, vec!["n"]),
        (r#"{"name":"n","status":"gone"},{"name":"m","status":"ready"}"#, vec!["n", "m"]),
    ] {
        let (mut departures, known) = (Departures::default(), Endpoints::default());
        departures.record(vec!["n".into()], 20);
        let mut list =
            response(r#""snapshot":true,"#, r#"{"name":"n","status":"ready"},{"name":"m","status":"ready"}"#);
        departures.settle(&mut list, &known, 10, true);
        assert_eq!((names(&list), departures.are_unsettled()), (vec!["m"], true));
        let mut later = response("", later_entries);
        departures.settle(&mut later, &known, 21, false);
        assert_eq!((names(&later), departures.are_unsettled()), (expected, false), "{later_entries}");
    }
}
