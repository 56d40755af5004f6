//! Handles messages from other entry VMs and events from traffic threads.

use crate::control::control_state::{ActiveDocument, ControlState};
use crate::shared_state::TrafficEvent;
use crate::wall_clock;
use sniperelay_config::parse_document;
use sniperelay_core::edition::{ConfigEdition, EditionSummary, OfferOutcome, summary_of};
use sniperelay_core::ids::{IncarnationId, ServiceName};
use sniperelay_core::member::{MemberMessage, MemberMessageKind};
use sniperelay_core::vm::{VmList, VmRole};
use sniperelay_wire::PeerMessage;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

/// Maximum number of editions that one message can request.
const MAX_EDITIONS_PER_FETCH: usize = 64;

/// Handles a message from another entry VM.
pub fn handle_message(state: &mut ControlState, message: PeerMessage, now: Instant) {
    match message {
        PeerMessage::Member(message) => handle_member(state, message, now),
        PeerMessage::EditionSummaries { sender, summaries } => {
            fetch_newer_editions(state, sender, &summaries)
        }
        PeerMessage::EditionSummaryRequest { sender, mask } => {
            let summaries = state.editions.summaries(mask);
            let own = state.node_state.incarnation;
            state.send_to_member(sender, &PeerMessage::EditionSummaries { sender: own, summaries });
        }
        PeerMessage::EditionFetch { sender, services } => {
            for service in services.iter().take(MAX_EDITIONS_PER_FETCH) {
                if let Some(edition) = state.editions.get(service) {
                    state.send_to_member(sender, &PeerMessage::Edition(Box::new(edition.clone())));
                }
            }
        }
        PeerMessage::Edition(edition) => offer_edition(state, *edition),
        PeerMessage::VmListFetch { sender, revision } => {
            if state.vm_list.revision > revision {
                state.send_to_member(sender, &PeerMessage::VmList(state.vm_list.clone()));
            }
        }
        PeerMessage::VmList(list) => adopt_vm_list(state, list),
        PeerMessage::SlotRequest { sender, service, count } => lend_slots(state, sender, service, count),
        PeerMessage::SlotLoan { sender, service, targets } => {
            if let Some(entry) = state.node_state.services.load().get(&service) {
                entry.dispatcher_handle.run_operation(|dispatcher, now, actions| {
                    dispatcher.receive_loans(sender, &targets, now, actions)
                });
            }
        }
        PeerMessage::SlotReturn { service, target } => {
            if let Some(entry) = state.node_state.services.load().get(&service) {
                entry
                    .dispatcher_handle
                    .run_operation(|dispatcher, now, actions| dispatcher.loan_returned(target, now, actions));
            }
        }
        PeerMessage::TargetLeaving { service, target } => mark_target_leaving(state, service, target, now),
    }
}

/// Handles an event from a traffic thread.
pub fn handle_traffic_event(state: &mut ControlState, event: TrafficEvent, now: Instant) {
    match event {
        TrafficEvent::TargetLeaving { service, target } => mark_target_leaving(state, service, target, now),
    }
}

fn handle_member(state: &mut ControlState, message: MemberMessage, now: Instant) {
    let sender = message.sender.clone();
    let is_heartbeat = matches!(message.kind, MemberMessageKind::Heartbeat | MemberMessageKind::HeartbeatAck);
    let editions = state.edition_digest();
    let mask = editions.difference(&message.editions);
    let outgoing = state.members.receive(message, now, editions);
    state.send_all(outgoing);
    if is_heartbeat && mask != 0 {
        let own = state.node_state.incarnation;
        state.link.send(sender.peer_address, &PeerMessage::EditionSummaryRequest { sender: own, mask });
    }
    if is_heartbeat && state.vm_list.revision == 0 {
        let message = PeerMessage::VmListFetch { sender: state.node_state.incarnation, revision: 0 };
        state.link.send(sender.peer_address, &message);
    }
}

fn fetch_newer_editions(state: &ControlState, sender: IncarnationId, summaries: &[EditionSummary]) {
    let newer = summaries.iter().filter(|summary| state.editions.is_newer(summary));
    let services: Vec<ServiceName> =
        newer.map(|summary| summary.service.clone()).take(MAX_EDITIONS_PER_FETCH).collect();
    if !services.is_empty() {
        let message = PeerMessage::EditionFetch { sender: state.node_state.incarnation, services };
        state.send_to_member(sender, &message);
    }
}

/// Processes an edition from any source. An edition that fails verification is refused, and the active
/// one remains in use. An edition that is newer than the active one is activated and announced to the
/// neighbours. Any other edition is ignored.
pub fn offer_edition(state: &mut ControlState, edition: ConfigEdition) {
    let document = match parse_document(&format!("config/{}", edition.service), &edition.text) {
        Ok(document) if document.name == edition.service => document,
        Ok(document) => {
            log::error!(
                "refused the document of service {}: it names service {}",
                edition.service,
                document.name
            );
            state.node_state.metrics.process().documents_refused.fetch_add(1, Ordering::Relaxed);
            return;
        }
        Err(findings) => {
            log::error!("refused a document, the active version is kept:\n{findings}");
            state.node_state.metrics.process().documents_refused.fetch_add(1, Ordering::Relaxed);
            return;
        }
    };
    let summary = summary_of(&edition);
    let service = edition.service.clone();
    let generation = edition.mark.generation;
    if state.editions.offer(edition) != OfferOutcome::Adopted {
        return;
    }
    log::info!("service {service}: version {generation} is active");
    let activated_unix_millis = wall_clock::unix_millis();
    let active = ActiveDocument { generation, document: Arc::new(document), activated_unix_millis };
    state.documents.insert(service, active);
    state.has_stale_snapshots = true;
    let own = state.node_state.incarnation;
    state.send_to_neighbours(&PeerMessage::EditionSummaries { sender: own, summaries: vec![summary] });
}

/// Adopts a list of VMs unless it is older than the current one. Entry VMs on the list become seeds of
/// the membership.
pub fn adopt_vm_list(state: &mut ControlState, list: VmList) {
    if list.revision < state.vm_list.revision || list == state.vm_list {
        return;
    }
    for record in list.records.iter().filter(|record| record.role == VmRole::EntryVm) {
        state.members.add_seed(record.address);
    }
    state.has_stale_snapshots |= list.records != state.vm_list.records;
    state.vm_list = list;
}

fn lend_slots(state: &ControlState, borrower: IncarnationId, service: ServiceName, count: u32) {
    let services = state.node_state.services.load();
    let Some(entry) = services.get(&service) else { return };
    let targets =
        entry.dispatcher_handle.run_operation(|dispatcher, now, _| dispatcher.lend_slots(count, now));
    let sender = state.node_state.incarnation;
    state.send_to_member(borrower, &PeerMessage::SlotLoan { sender, service, targets });
}

fn mark_target_leaving(state: &mut ControlState, service: ServiceName, target: SocketAddr, now: Instant) {
    if let Some(entry) = state.node_state.services.load().get(&service) {
        entry.dispatcher_handle.run_operation(|dispatcher, _, _| dispatcher.mark_leaving(target));
    }
    let is_first_report = state.leaving_reports.insert((service.clone(), target), now).is_none();
    if is_first_report {
        state.has_stale_snapshots = true;
        state.send_to_neighbours(&PeerMessage::TargetLeaving { service, target });
    }
}
