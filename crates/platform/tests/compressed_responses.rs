//! Tests of compressed responses: a client gets the whole contents or an error, never a part of them.

use flate2::write::ZlibEncoder;
use flate2::{Compress, Compression, FlushCompress, Status};
use sniperelay_platform::api::{MAX_RESPONSE_BYTES, PlatformApi, StoredObject};
use sniperelay_platform::{HttpPlatform, PlatformError};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Size of one block of the endless stream before compression, in bytes.
const BLOCK_BYTES: usize = 1024 * 1024;
/// Number of blocks of the endless stream: 8 GB before compression.
const BLOCK_COUNT: usize = 8 * 1024;

/// Starts a server that sends this response to each request. Returns its address and the requests.
async fn start_server(response: Vec<u8>) -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let requests = Arc::new(Mutex::new(Vec::new()));
    let received = requests.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4096];
            let count = stream.read(&mut request).await.unwrap_or(0);
            received.lock().unwrap().push(String::from_utf8_lossy(&request[..count]).to_lowercase());
            // A client that has read enough closes the connection.
            let (Ok(()) | Err(_)) = stream.write_all(&response).await;
        }
    });
    (address, requests)
}

fn response(coding: &str, body: &[u8]) -> Vec<u8> {
    let coding = if coding.is_empty() { String::new() } else { format!("Content-Encoding: {coding}\r\n") };
    let head = format!("HTTP/1.1 200 OK\r\n{coding}Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

fn compress(body: &[u8]) -> Vec<u8> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(body).unwrap();
    encoder.finish().unwrap()
}

/// Returns a list as JSON text of exactly this size, padded by spaces at its end.
fn padded_list(size: usize) -> Vec<u8> {
    let mut text = list_text();
    assert!(text.len() <= size);
    text.resize(size, b' ');
    text
}

fn list_text() -> Vec<u8> {
    let values = items().into_iter().map(|item| serde_json::to_value(item).unwrap());
    let list = serde_json::json!({ "revision": 9, "items": values.collect::<Vec<_>>() });
    serde_json::to_vec(&list).unwrap()
}

fn items() -> Vec<StoredObject> {
    let item = |index: u64| StoredObject {
        key: format!("k/{index}"),
        version: index,
        value: format!("{:x}", index.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
    };
    (1..400).map(item).collect()
}

/// Returns a stream that has no end and whose blocks are spaces. Each block ends at a byte boundary and refers
/// to no other, so that the stream consists of one block again and again.
fn endless_stream() -> Vec<u8> {
    let mut compressor = Compress::new(Compression::best(), true);
    let spaces = vec![b' '; BLOCK_BYTES];
    let mut compress_block = || {
        let mut block = Vec::with_capacity(BLOCK_BYTES);
        let status = compressor.compress_vec(&spaces, &mut block, FlushCompress::Full).unwrap();
        assert_eq!(status, Status::Ok);
        block
    };
    let mut stream = compress_block();
    let block = compress_block();
    stream.extend(block.repeat(BLOCK_COUNT));
    stream
}

fn with_flipped_bit(mut bytes: Vec<u8>, position: usize) -> Vec<u8> {
    bytes[position] ^= 0x10;
    bytes
}

#[tokio::test]
async fn sound_responses_are_read_with_and_without_compression() {
    let text = list_text();
    let rows = [
        ("plain", response("", &text)),
        ("compressed", response("deflate", &compress(&text))),
        ("name of the coding in upper case", response("DEFLATE", &compress(&text))),
        ("largest", response("deflate", &compress(&padded_list(MAX_RESPONSE_BYTES)))),
    ];
    for (name, response) in rows {
        let (address, _) = start_server(response).await;
        let list = HttpPlatform::new(address, 100).with_compression().list("k/").await;
        let list = list.unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!((list.revision, list.items), (9, items()), "{name}");
    }
}

#[tokio::test]
async fn unsound_compressed_responses_are_errors_with_a_reason() {
    let text = list_text();
    let sound = compress(&text);
    let size = sound.len();
    let cut = |length: usize| response("deflate", &sound[..length]);
    let flip = |position: usize| response("deflate", &with_flipped_bit(sound.clone(), position));
    let (too_large, corrupt, incomplete) = ("exceeds 16777216 bytes", "is corrupt", "is incomplete");
    // Each row: name, response, part of the error.
    let rows = [
        (
            "one byte too large",
            response("deflate", &compress(&padded_list(MAX_RESPONSE_BYTES + 1))),
            too_large,
        ),
        ("without end", response("deflate", &endless_stream()), too_large),
        ("empty", cut(0), incomplete),
        ("only the header", cut(2), incomplete),
        ("a third", cut(size / 3), incomplete),
        ("without the checksum", cut(size - 4), incomplete),
        ("without the last byte", cut(size - 1), incomplete),
        ("other header", flip(0), corrupt),
        ("other checksum", flip(size - 1), corrupt),
        ("other data", response("deflate", b"{\"revision\":9,\"items\":[]}"), corrupt),
        ("raw deflate", response("deflate", &sound[2..size - 4]), corrupt),
        ("more data", response("deflate", &[&sound[..], b"x"].concat()), "followed by other data"),
        ("two streams", response("deflate", &[&sound[..], &sound[..]].concat()), "followed by other data"),
        ("other coding", response("br", &sound), "not supported"),
        ("two codings", response("deflate, deflate", &compress(&sound)), "not supported"),
        ("unnamed coding", response("", &sound), "expected value"),
    ];
    for (name, response, reason) in rows {
        let (address, _) = start_server(response).await;
        let result = HttpPlatform::new(address, 100).with_compression().list("k/").await;
        let Err(PlatformError::Malformed(found)) = &result else { panic!("{name}: {result:?}") };
        assert!(found.contains(reason), "{name}: {found}");
    }
}

/// Wherever a bit of the compressed body is flipped, the body is an error.
#[tokio::test]
async fn flipped_bit_anywhere_is_an_error() {
    let sound = compress(&list_text());
    for position in (0..sound.len()).step_by(97) {
        let (address, _) =
            start_server(response("deflate", &with_flipped_bit(sound.clone(), position))).await;
        let result = HttpPlatform::new(address, 100).with_compression().list("k/").await;
        assert!(matches!(result, Err(PlatformError::Malformed(_))), "bit at {position}: {result:?}");
    }
}

#[tokio::test]
async fn compression_is_asked_for_only_by_a_client_that_is_told_to() {
    let (address, requests) = start_server(response("", &list_text())).await;
    HttpPlatform::new(address, 100).list("k/").await.unwrap();
    HttpPlatform::new(address, 100).with_compression().list("k/").await.unwrap();
    let requests = requests.lock().unwrap().clone();
    assert!(!requests[0].contains("accept-encoding"), "{}", requests[0]);
    assert!(requests[1].contains("\r\naccept-encoding: deflate\r\n"), "{}", requests[1]);
}
