//! Users that send small requests, which run at most once, on connections that they keep.

use crate::http::{ClientRequest, Outcome, send_on};
use crate::record::Record;
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::time::Duration;

/// Request on a kept connection that was closed without an answer.
pub struct Cut {
    pub id: String,
    pub at: f64,
    pub outcome: String,
}

/// Sends requests one after the other on one connection until `end`.
pub fn send_claims(
    record: &Record,
    address: SocketAddr,
    host: &str,
    number: usize,
    end: f64,
    cuts: &Mutex<Vec<Cut>>,
) {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else { return };
    let mut count = 0;
    while record.now() < end {
        count += 1;
        let id = format!("claim-{number:02}-{count:03}");
        let request = ClientRequest {
            method: "POST",
            host: host.to_owned(),
            path: "/claim/w600".to_owned(),
            id: id.clone(),
            deadline: Duration::from_millis(4000),
            body: vec![b'c'; 300],
        };
        record.log(format!("{id} sent on connection {number} to {address}"));
        let outcome = send_on(&mut stream, &request);
        record.log(format!("{id}: {}", outcome.text()));
        match outcome {
            Outcome::Answered(message) if message.header("connection") == Some("close") => return,
            Outcome::Answered(_) => {}
            outcome => {
                // The first request of a connection is not one of a kept connection.
                if count > 1 && matches!(outcome, Outcome::Closed(_)) {
                    cuts.lock().unwrap().push(Cut { id, at: record.now(), outcome: outcome.text() });
                }
                return;
            }
        }
    }
}
