//! What holds for every socket of the real machine.

use super::*;
use crate::Host;

// Guards against an answer that the system holds back, and that goes down with the reset of a close.
#[test]
fn no_socket_holds_small_writes_back() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let host = Host::os();
        let listener = host.listen("127.0.0.1:0".parse().unwrap(), 8, false).unwrap();
        let dialled = host.connect(listener.address()).await.unwrap();
        let (accepted, _) = listener.accept().await.unwrap();
        for stream in [dialled, accepted] {
            assert!(SockRef::from(&stream.descriptor().unwrap()).tcp_nodelay().unwrap());
        }
    });
}
