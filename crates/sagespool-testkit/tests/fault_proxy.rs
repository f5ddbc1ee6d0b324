//! The contract of the fault proxy: what is forwarded, what is lost, and what both ends observe.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::thread;
use std::time::{Duration, Instant};

use sagespool_testkit::{FaultProxy, PairBytes};

const BOUND: Duration = Duration::from_secs(30);
const NEVER: Duration = Duration::from_secs(3600);

fn until(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < BOUND, "timed out waiting until {what}");
        thread::sleep(Duration::from_millis(1));
    }
}

fn start() -> FaultProxy {
    FaultProxy::start().expect("it starts")
}

/// A UDP socket, registered with the proxy as a process's sender.
fn udp_process(proxy: &FaultProxy, name: &str) -> UdpSocket {
    let socket = udp_socket();
    proxy.register_sender(name, address_of(&socket));
    socket
}

fn udp_socket() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    socket.set_read_timeout(Some(BOUND)).expect("a time-out");
    socket
}

fn address_of(socket: &UdpSocket) -> SocketAddr {
    socket.local_addr().expect("it is bound")
}

fn receive(socket: &UdpSocket) -> (String, SocketAddr) {
    let mut buffer = [0; 64];
    let (length, from) = socket.recv_from(&mut buffer).expect("a packet arrives");
    (String::from_utf8_lossy(&buffer[..length]).into_owned(), from)
}

/// A TCP link from `a` to `b`, and the listener at its end.
fn tcp_link(proxy: &FaultProxy) -> (SocketAddr, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let target = listener.local_addr().expect("it is bound");
    (proxy.tcp_link("a", "b", target).expect("a link"), listener)
}

/// Both ends of a new connection through a link, after a transfer in each direction.
fn connect(link: SocketAddr, listener: &TcpListener) -> (TcpStream, TcpStream) {
    let mut client = TcpStream::connect(link).expect("the link accepts");
    let (mut server, _) = listener.accept().expect("the target accepts");
    for end in [&client, &server] {
        end.set_read_timeout(Some(BOUND)).expect("a time-out");
    }
    pass("hello", &mut client, &mut server);
    pass("hello", &mut server, &mut client);
    (client, server)
}

fn pass(text: &str, from: &mut TcpStream, to: &mut TcpStream) {
    from.write_all(text.as_bytes()).expect("it is sent");
    let mut buffer = vec![0; text.len()];
    to.read_exact(&mut buffer).expect("it arrives");
    assert_eq!(String::from_utf8_lossy(&buffer), text);
}

fn assert_silent(stream: &mut TcpStream) {
    stream.set_nonblocking(true).expect("it is open");
    let seen = stream.read(&mut [0; 8]).map_err(|error| error.kind());
    assert_eq!(seen, Err(ErrorKind::WouldBlock));
    stream.set_nonblocking(false).expect("it is open");
}

fn assert_reset(stream: &mut TcpStream) {
    let seen = stream.read(&mut [0; 8]).map_err(|error| error.kind());
    assert_eq!(seen, Err(ErrorKind::ConnectionReset));
}

fn lost(proxy: &FaultProxy, from: &str, to: &str) -> u64 {
    proxy.bytes(from, to).lost.0
}

#[test]
fn udp_faults() {
    const SENT: u64 = 60;
    type Case = (&'static str, fn(&FaultProxy), fn(&[u64]) -> bool);
    let all_in_order = |seen: &[u64]| seen.iter().copied().eq(0..SENT);
    let cases: [Case; 9] = [
        ("nothing", |_| {}, all_in_order),
        ("cut", |proxy| proxy.cut("a", "b"), |seen| seen.is_empty()),
        ("cut this way", |proxy| proxy.cut_one_way("a", "b"), |seen| seen.is_empty()),
        ("cut the other way", |proxy| proxy.cut_one_way("b", "a"), all_in_order),
        ("all dropped", |proxy| proxy.drop_share("b", "a", 1.0), |seen| seen.is_empty()),
        (
            "half dropped",
            |proxy| proxy.drop_share("a", "b", 0.5),
            |seen| (1..SENT as usize).contains(&seen.len()) && seen.is_sorted(),
        ),
        (
            "all doubled",
            |proxy| proxy.duplicate_share("a", "b", 1.0),
            |seen| seen.iter().copied().eq((0..SENT).flat_map(|n| [n, n])),
        ),
        ("delayed", |proxy| proxy.delay("a", "b", Duration::from_millis(5)), all_in_order),
        (
            "out of order",
            |proxy| proxy.reorder_share("a", "b", 0.5),
            |seen| seen.len() == SENT as usize && !seen.is_sorted(),
        ),
    ];
    for (name, set_fault, expected) in cases {
        let proxy = start();
        let (a, b) = (udp_process(&proxy, "a"), udp_process(&proxy, "b"));
        let link = proxy.udp_link("b", address_of(&b)).expect("a link");
        set_fault(&proxy);
        for number in 0..SENT {
            a.send_to(format!("{number:02}").as_bytes(), link).expect("it is sent");
        }
        let settled = |bytes: PairBytes| {
            bytes.entered.0 == 2 * SENT && bytes.carried + bytes.lost >= bytes.entered
        };
        until(name, || settled(proxy.bytes("a", "b")));
        let arrived = proxy.bytes("a", "b").carried.0 / 2;
        let numbers = (0..arrived).map(|_| receive(&b).0.parse().expect("a number"));
        let seen: Vec<u64> = numbers.collect();
        assert!(expected(&seen), "{name}: {seen:?}");
    }
}

#[test]
fn udp_replies() {
    let proxy = start();
    let (a, b, c) = (udp_process(&proxy, "a"), udp_process(&proxy, "b"), udp_process(&proxy, "c"));
    let link = proxy.udp_link("c", address_of(&c)).expect("a link");
    for (sender, text) in [(&a, "from a"), (&b, "from b"), (&a, "from a")] {
        sender.send_to(text.as_bytes(), link).expect("it is sent");
        let (seen, source) = receive(&c);
        assert_eq!(seen, text);
        c.send_to(format!("to {text}").as_bytes(), source).expect("it is sent");
        // The reply must come from the address that the sender sent to: QUIC accepts no other.
        assert_eq!(receive(sender), (format!("to {text}"), link));
    }
    a.send_to(b"again", link).expect("it is sent");
    let (_, address_of_a) = receive(&c);
    // Anyone can send to the proxy's sockets; only packets of the target are forwarded back.
    udp_socket().send_to(b"forged", address_of_a).expect("it is sent");
    c.send_to(b"", address_of_a).expect("it is sent");
    assert_eq!(receive(&a).0, "");
    until("both replies to a count", || proxy.bytes("c", "a").carried.0 == 18);
    until("the reply to b counts", || proxy.bytes("c", "b").carried.0 == 9);
}

#[test]
fn udp_delay() {
    // A packet is delayed for an hour. A packet sent later without delay arrives first, and the
    // delayed one is not dropped.
    let proxy = start();
    let (a, b) = (udp_process(&proxy, "a"), udp_process(&proxy, "b"));
    let link = proxy.udp_link("b", address_of(&b)).expect("a link");
    proxy.delay("a", "b", NEVER);
    a.send_to(b"late", link).expect("it is sent");
    until("the proxy has received it", || proxy.bytes("a", "b").entered.0 == 4);
    proxy.delay("a", "b", Duration::ZERO);
    a.send_to(b"early", link).expect("it is sent");
    assert_eq!(receive(&b).0, "early");
    until("it is counted", || proxy.bytes("a", "b").carried.0 == 5);
    assert_eq!(lost(&proxy, "a", "b"), 0);
}

#[test]
fn unknown_senders() {
    // A restarted process is not registered again. Its packets must not cross a partition because
    // its name is unknown, so all of them are dropped.
    let proxy = start();
    let (unregistered, b) = (udp_socket(), udp_process(&proxy, "b"));
    let link = proxy.udp_link("b", address_of(&b)).expect("a link");
    unregistered.send_to(b"one", link).expect("it is sent");
    until("it is counted", || proxy.unregistered_packets() == 1);
    proxy.register_sender("a", address_of(&unregistered));
    unregistered.send_to(b"two", link).expect("it is sent");
    assert_eq!(receive(&b).0, "two");
    // The address is reassigned to another process, which is partitioned.
    proxy.register_sender("x", address_of(&unregistered));
    proxy.cut("x", "b");
    unregistered.send_to(b"three", link).expect("it is sent");
    until("it is lost", || lost(&proxy, "x", "b") == 5);
    assert_eq!(proxy.bytes("a", "b").entered.0, 3);
}

#[test]
fn partitioned_groups() {
    let proxy = start();
    let names = ["a", "b", "c", "d"];
    let sockets = names.map(|name| udp_process(&proxy, name));
    let link_to = |at: usize| proxy.udp_link(names[at], address_of(&sockets[at])).expect("a link");
    let links = [0, 1, 2, 3].map(link_to);
    let send_all_pairs = |partitioned: bool| {
        for (from, to) in (0..4).flat_map(|from| (0..4).map(move |to| (from, to))) {
            let passes = !partitioned || (from < 2) == (to < 2);
            let before = lost(&proxy, names[from], names[to]);
            sockets[from].send_to(b"x", links[to]).expect("it is sent");
            if passes {
                assert_eq!(receive(&sockets[to]).0, "x", "{from} to {to}");
            } else {
                until("it is lost", || lost(&proxy, names[from], names[to]) == before + 1);
            }
        }
    };
    send_all_pairs(false);
    proxy.cut_groups(&["a", "b"], &["c", "d"]);
    send_all_pairs(true);
    proxy.heal_groups(&["a", "b"], &["c", "d"]);
    send_all_pairs(false);
    proxy.cut_groups(&["a", "b"], &["c", "d"]);
    proxy.heal_all();
    send_all_pairs(false);
}

#[test]
fn tcp_bytes() {
    let proxy = start();
    proxy.delay("a", "b", Duration::from_millis(1));
    let (link, listener) = tcp_link(&proxy);
    let sent: Vec<u8> =
        (0..3_000_000_u32).map(|number| number as u8 ^ (number >> 8) as u8).collect();
    let echo = thread::spawn(move || {
        let (mut server, _) = listener.accept().expect("the target accepts");
        let mut received = Vec::new();
        server.read_to_end(&mut received).expect("it is read to its end");
        server.write_all(&received).expect("it is sent back");
    });
    let mut client = TcpStream::connect(link).expect("the link accepts");
    client.write_all(&sent).expect("it is sent");
    client.shutdown(std::net::Shutdown::Write).expect("it is open");
    let mut received = Vec::new();
    client.read_to_end(&mut received).expect("it is read to its end");
    echo.join().expect("the echo doesn't panic");
    assert!(received == sent);
    for (from, to) in [("a", "b"), ("b", "a")] {
        let all = sent.len() as u64;
        until("every byte counts", || proxy.bytes(from, to).carried.0 == all);
        assert_eq!(lost(&proxy, from, to), 0);
    }
}

#[test]
fn tcp_cuts() {
    // A process is partitioned from the store during a call. It sees neither an answer nor a broken
    // connection. After the cut is healed, a connection that lost bytes must be reset instead of
    // carrying the remainder, and one that was idle continues.
    type Case = (&'static str, fn(&FaultProxy), bool, bool);
    // Name, the cut, whether bytes of the client are lost, and whether bytes of the server are.
    let cases: [Case; 3] = [
        ("both ways", |proxy| proxy.cut("a", "b"), true, true),
        ("there", |proxy| proxy.cut_one_way("a", "b"), true, false),
        ("back", |proxy| proxy.cut_one_way("b", "a"), false, true),
    ];
    for (name, cut, client_bytes_lost, server_bytes_lost) in cases {
        let proxy = start();
        let (link, listener) = tcp_link(&proxy);
        let (mut idle_client, mut idle_server) = connect(link, &listener);
        let (mut client, mut server) = connect(link, &listener);
        cut(&proxy);
        if server_bytes_lost {
            server.write_all(b"answer").expect("it is sent");
            until(name, || lost(&proxy, "b", "a") == 6);
            assert_silent(&mut client);
        } else {
            pass("answer", &mut server, &mut client);
        }
        if client_bytes_lost {
            client.write_all(b"call").expect("it is sent");
            until(name, || lost(&proxy, "a", "b") == 4);
            assert_silent(&mut server);
        }
        proxy.heal("a", "b");
        assert_reset(&mut client);
        assert_reset(&mut server);
        pass("later", &mut idle_client, &mut idle_server);
        connect(link, &listener);
    }
}

#[test]
fn partly_lost_call() {
    // Half of a call is lost in a cut, which is then healed towards the target only. Later bytes of
    // the client must not arrive: the target would read the remainder as a complete call.
    let proxy = start();
    let (link, listener) = tcp_link(&proxy);
    let (mut client, mut server) = connect(link, &listener);
    proxy.cut("a", "b");
    client.write_all(b"half").expect("it is sent");
    until("the first half is lost", || lost(&proxy, "a", "b") == 4);
    proxy.heal_one_way("a", "b");
    client.write_all(b"rest").expect("it is sent");
    until("the second half is lost", || lost(&proxy, "a", "b") == 8);
    assert_silent(&mut server);
    proxy.heal_one_way("b", "a");
    assert_reset(&mut client);
    assert_reset(&mut server);
}

#[test]
fn close_during_cut() {
    // A client closes its connection during a cut. The other end must not observe the close, as if
    // the client's machine had lost its network.
    let proxy = start();
    let (link, listener) = tcp_link(&proxy);
    let (client, mut server) = connect(link, &listener);
    let (mut other_client, mut other_server) = connect(link, &listener);
    proxy.cut_one_way("a", "b");
    drop(client);
    for _ in 0..20 {
        pass("passing time", &mut other_server, &mut other_client);
    }
    assert_silent(&mut server);
    proxy.heal("a", "b");
    assert_reset(&mut server);
}

#[test]
fn connect_during_cut() {
    // A process connects and calls during a cut, and closes the connection. Its call must not reach
    // the target after the cut is healed.
    let proxy = start();
    let (link, listener) = tcp_link(&proxy);
    proxy.cut_one_way("b", "a");
    let mut waiting_caller = TcpStream::connect(link).expect("the link accepts");
    let mut closed_caller = TcpStream::connect(link).expect("the link accepts");
    let _waiting = TcpStream::connect(link).expect("the link accepts");
    waiting_caller.write_all(b"first").expect("it is sent");
    closed_caller.write_all(b"second").expect("it is sent");
    drop(closed_caller);
    until("both calls are lost", || lost(&proxy, "a", "b") == 11);
    proxy.heal("a", "b");
    assert_reset(&mut waiting_caller);
    // Only the connection that has sent nothing is forwarded, and connections made later.
    let (mut silent, _) = listener.accept().expect("the target accepts");
    connect(link, &listener);
    assert_silent(&mut silent);
}

#[test]
fn tcp_delay() {
    let proxy = start();
    let (link, listener) = tcp_link(&proxy);
    let (mut late_client, mut late_server) = connect(link, &listener);
    let (mut client, mut server) = connect(link, &listener);
    let before = proxy.bytes("a", "b").entered.0;
    proxy.delay("a", "b", NEVER);
    late_client.write_all(b"late").expect("it is sent");
    until("the proxy has received it", || proxy.bytes("a", "b").entered.0 == before + 4);
    proxy.delay("a", "b", Duration::ZERO);
    pass("early", &mut client, &mut server);
    assert_silent(&mut late_server);
    assert_eq!(lost(&proxy, "a", "b"), 0);
}

#[test]
fn broken_connections() {
    for (one, other) in [("a", "b"), ("b", "a")] {
        let proxy = start();
        let (link, listener) = tcp_link(&proxy);
        let (mut client, mut server) = connect(link, &listener);
        proxy.break_connections("a", "c");
        pass("still open", &mut client, &mut server);
        proxy.break_connections(one, other);
        assert_reset(&mut client);
        assert_reset(&mut server);
        connect(link, &listener);
    }
}

#[test]
fn forwarded_close() {
    // A killed process's connections are reset or closed by its operating system, and a target that
    // does not listen refuses connections: the proxy must forward both.
    let proxy = start();
    let (link, listener) = tcp_link(&proxy);
    let (client, mut server) = connect(link, &listener);
    drop(client);
    assert_eq!(server.read(&mut [0; 8]).expect("a clean end"), 0);
    let (mut client, server) = connect(link, &listener);
    client.write_all(b"unread").expect("it is sent");
    until("it is carried", || proxy.bytes("a", "b").carried.0 == 16);
    // Closed with unread bytes, which resets the connection.
    drop(server);
    assert_reset(&mut client);
    drop(listener);
    assert_reset(&mut TcpStream::connect(link).expect("the link accepts"));
}

#[test]
fn dropped_proxy() {
    let proxy = start();
    let (link, listener) = tcp_link(&proxy);
    let (mut client, mut server) = connect(link, &listener);
    drop(proxy);
    assert!(matches!(client.read(&mut [0; 8]), Ok(0) | Err(_)));
    assert_reset(&mut server);
    assert!(TcpStream::connect(link).is_err());
}
