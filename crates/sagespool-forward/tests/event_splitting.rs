//! Events of a stream that arrives in arbitrary chunks.

use quickcheck::quickcheck;
use sagespool_forward::EventSplitter;

/// Pieces of a stream, with all parts of its line ends.
const PIECES: [&[u8]; 8] =
    [b"\n", b"\r", b"\r\n", b"\n\n", b"\r\n\r\n", b"id: 7", b"data: x", &[0xff]];

fn stream(pieces: &[u8]) -> Vec<u8> {
    pieces.iter().flat_map(|piece| PIECES[usize::from(*piece) % PIECES.len()]).copied().collect()
}

/// The number of bytes after which each event ends, by a search of the whole rest for each one.
fn reference_ends(bytes: &[u8]) -> Vec<usize> {
    let mut ends = Vec::new();
    let mut from = 0;
    let position = |from: usize, wanted: &[u8]| {
        let found = bytes[from..].windows(wanted.len()).position(|window| window == wanted);
        found.map(|at| from + at + wanted.len())
    };
    while let Some(end) =
        [position(from, b"\n\n"), position(from, b"\r\n\r\n")].into_iter().flatten().min()
    {
        ends.push(end);
        from = end;
    }
    ends
}

/// Guards against a stream that is resumed too early after an event whose id was overlooked, since its
/// data isn't UTF-8: the caller would get the event twice.
#[test]
fn id_beside_other_bytes() {
    for event in [&b"data: \xff\xfe\nid: 7\n\n"[..], b"id: 7\r\ndata: \xff\r\n\r\n"] {
        assert_eq!(EventSplitter::default().push(event).last_id, Some(7));
    }
}

quickcheck! {
    /// Guards against an event that is missed or split because its end arrives in several chunks.
    fn any_chunks(pieces: Vec<u8>, lengths: Vec<u8>) -> bool {
        let bytes = stream(&pieces);
        let mut splitter = EventSplitter::default();
        let (mut forwarded, mut count, mut rest) = (Vec::new(), 0, bytes.as_slice());
        let mut lengths = lengths.into_iter().map(|length| usize::from(length % 7)).chain([bytes.len()]);
        while !rest.is_empty() {
            let length = lengths.next().unwrap_or(rest.len()).min(rest.len());
            let (chunk, later) = rest.split_at(length);
            let complete = splitter.push(chunk);
            forwarded.extend(complete.bytes);
            count += complete.count;
            rest = later;
        }
        let ends = reference_ends(&bytes);
        let end = ends.last().copied().unwrap_or(0);
        forwarded == bytes[..end] && count == ends.len() as u64 && splitter.remainder() == &bytes[end..]
    }
}
