//! Tests of the settings of an entry VM on a hosted platform: the limit of caller connections.

use sniperelay_config::{RelaySettings, parse_relay_settings};

/// Limit of caller connections of builds without the settings keys of the VM's limits.
const EARLIER_LIMIT: usize = 3000;
/// Descriptors that the platform reserves for files.
const FILE_DESCRIPTORS: usize = 200;

fn settings(limits: &str) -> RelaySettings {
    parse(limits).unwrap_or_else(|findings| panic!("{limits}: {findings:?}"))
}

fn parse(limits: &str) -> Result<RelaySettings, sniperelay_core::FindingList> {
    let address = "127.0.0.1:0";
    let text = format!(
        "[entry-vm]\nname = a\nfailure-domain = z\ncaller-address = {address}\nready-address = {address}\n\
         lookup-address = {address}\npeer-address = {address}\ncontrol-address = {address}\n\
         metrics-address = {address}\n[platform]\naddress = {address}\n[limits]\n{limits}\n"
    );
    parse_relay_settings("test.ini", &text)
}

fn connections(limits: &str) -> (usize, usize) {
    let limits = settings(limits).limits;
    (limits.caller_connections, limits.connection_reserve)
}

/// The VMs on which the earlier limit left descriptors for targets.
#[test]
fn limit_is_not_lowered_where_it_held() {
    assert_eq!(connections("").0, EARLIER_LIMIT);
    for (descriptors, megabytes) in [(4100, 160), (4100, 260), (8192, 260), (8192, 512)] {
        let (limit, _) = connections(&format!("descriptors = {descriptors}\nmemory-mb = {megabytes}"));
        assert!(limit >= EARLIER_LIMIT, "{descriptors} descriptors, {megabytes} MB: {limit}");
    }
}

#[test]
fn callers_leave_descriptors_to_targets() {
    for descriptors in [300, 2870, 4100, 8192, 65_536] {
        let (limit, reserve) = connections(&format!("descriptors = {descriptors}\nmemory-mb = 4096"));
        let sockets = descriptors - FILE_DESCRIPTORS;
        assert!(limit + reserve <= sockets * 5 / 6 + 1, "{descriptors}: {limit} and {reserve}");
        assert!(reserve >= 4, "{descriptors}: {reserve}");
    }
}

#[test]
fn memory_bounds_the_limit() {
    let (limit, reserve) = connections("descriptors = 65536\nmemory-mb = 112");
    assert!((limit + reserve) * 16 * 1024 <= 112 * 1024 * 1024 / 3, "{limit} and {reserve}");
}

#[test]
fn stated_limit_goes_first() {
    let stated = "caller-connections = 5000\n";
    for others in ["", "descriptors = 2870\nmemory-mb = 112", "descriptors =\nmemory-mb ="] {
        assert_eq!(connections(&format!("{stated}{others}")), (5000, 312));
    }
}

/// The template leaves a key empty if the platform states no such limit.
#[test]
fn empty_limits_of_the_vm_are_absent() {
    assert_eq!(connections("descriptors =\nmemory-mb ="), connections(""));
    assert_eq!(connections("descriptors = 4100\nmemory-mb ="), connections("descriptors = 4100"));
}

#[test]
fn vm_without_room_for_callers_is_a_finding() {
    assert!(parse("descriptors = 204").is_err());
    assert!(parse("descriptors = many").is_err());
}
