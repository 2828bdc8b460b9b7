//! What the kernel tells of TCP sockets.

/// A socket as `/proc/net/tcp` lists it.
pub struct KernelSocket<'a> {
    /// The local address and port, in hexadecimal digits.
    pub local: &'a str,
    /// The remote address and port.
    pub remote: &'a str,
    /// The state of the connection, two hexadecimal digits.
    pub state: &'a str,
}

impl<'a> KernelSocket<'a> {
    /// The state of a connection that neither side has ended.
    pub const ESTABLISHED: &'static str = "01";

    /// Parses a line of the list. `None` for a line that describes no socket.
    pub fn parse(line: &'a str) -> Option<Self> {
        let mut fields = line.split_whitespace().skip(1);
        Some(KernelSocket { local: fields.next()?, remote: fields.next()?, state: fields.next()? })
    }
}
