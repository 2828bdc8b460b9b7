use super::*;

fn strings(identities: &[&str]) -> Vec<String> {
    identities.iter().map(ToString::to_string).collect()
}

// Guards against a second copy of a request that the predecessor holds, holds no longer, or has handed over.
#[test]
fn an_identity_is_active_once_at_both_processes_together() {
    let mut identities = Identities::default();
    identities.set_predecessor(strings(&["a", "b"]));
    assert!(identities.reserve("c") && !identities.reserve("c"));
    assert!(!identities.reserve("a"));
    identities.release_predecessor("a");
    assert!(identities.reserve("a"));
    assert!(identities.adopt("b") && !identities.reserve("b"), "handed over");
    // The predecessor frees what it has handed over.
    identities.release_predecessor("b");
    assert!(!identities.reserve("b"));
    assert!(!identities.adopt("c"), "another request has it here");
}

// Guards against an identity that a third process refuses for good, or serves too early, while two upgrades
// are in progress.
#[test]
fn the_successor_learns_when_an_identity_is_free_at_both_earlier_processes() {
    let mut identities = Identities::default();
    identities.set_predecessor(strings(&["a", "b", "c"]));
    assert!(identities.reserve("d"));
    let (active, mut free) = identities.share();
    assert_eq!(active, strings(&["a", "b", "c", "d"]));
    assert!(identities.adopt("a"));
    identities.release_predecessor("a");
    assert!(free.try_recv().is_err(), "adopted");
    identities.release("a");
    identities.release("d");
    // The predecessor has ended.
    identities.set_predecessor(Vec::new());
    let reported: Vec<String> = std::iter::from_fn(|| free.try_recv().ok()).collect();
    assert_eq!(reported, strings(&["a", "d", "b", "c"]));
}
