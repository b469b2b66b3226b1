//! Encodes messages into Cap'n Proto builders.

use smol_str::ToSmolStr;

use crate::budget::{DrawAnswer, DrawRequest, PartAnswer, PartRequest, ReportedClaim};
use crate::config::{Change, Confirmation};
use crate::lease::{Holding, LeaseClaim};
use crate::peer::{ClaimReply, Digest, Heartbeat, Member};
use crate::peer_capnp as wire;
use crate::pool::{
    Admission, AdmitAnswer, AttemptEnd, FinishedAttempt, Plan, PriorityClass, Progress,
};
use crate::suspect::SuspectRecord;
use crate::units::ShardId;

pub(super) fn member(mut to: wire::member::Builder<'_>, from: &Member) {
    to.set_instance(from.instance.as_str());
    to.set_incarnation(from.incarnation.0);
    if !from.is_brief() {
        to.set_peer_address(from.peer_address.as_str());
        to.set_http_address(from.http_address.as_str());
        to.set_zone(from.zone.as_str());
        to.set_region(from.region.as_str());
    }
    to.set_leaving(from.is_leaving);
    to.set_heartbeat_counter(from.heartbeat_counter);
    to.set_load_permille(from.load_permille);
}

pub(super) fn holding(mut to: wire::holding::Builder<'_>, from: &Holding) {
    to.set_shard(from.shard.to_smolstr().as_str());
    to.set_holder(from.holder.as_str());
    to.set_incarnation(from.incarnation.0);
    to.set_fencing(from.fencing.0);
}

/// An unknown holder is encoded as an empty holding.
fn known_holding(to: wire::holding::Builder<'_>, from: Option<&Holding>) {
    if let Some(from) = from {
        holding(to, from);
    }
}

pub(super) fn holdings(
    mut to: capnp::struct_list::Builder<'_, wire::holding::Owned>,
    from: &[Holding],
) {
    for (i, item) in from.iter().enumerate() {
        holding(to.reborrow().get(i as u32), item);
    }
}

pub(super) fn shards(mut to: capnp::text_list::Builder<'_>, from: &[ShardId]) {
    for (i, shard) in from.iter().enumerate() {
        to.set(i as u32, shard.to_smolstr().as_str());
    }
}

fn confirmation(mut to: wire::confirmation::Builder<'_>, from: &Confirmation) {
    to.set_version(from.version.0);
    to.set_has_store(from.has_store);
    to.set_confirmed_age_ms(from.confirmed_age_ms);
}

fn suspect_record(mut to: wire::suspect::Builder<'_>, from: &SuspectRecord) {
    to.set_fingerprint(from.fingerprint.0);
    to.set_crashes(from.crashes);
    to.set_remaining_ms(from.remaining_ms);
    to.set_output_tokens(from.output_tokens.0);
}

fn u32_list(mut to: capnp::primitive_list::Builder<'_, u32>, from: &[u32]) {
    for (i, number) in from.iter().enumerate() {
        to.set(i as u32, *number);
    }
}

fn digest(mut to: wire::heartbeat::Builder<'_>, from: &Digest) {
    to.set_first_group(from.first_group);
    if !from.group_hashes.is_empty() {
        let hashes = to.reborrow().init_group_hashes(from.group_hashes.len() as u32);
        u32_list(hashes, &from.group_hashes);
        to.set_group_sizes(&from.group_sizes);
        to.set_counters(&from.counters);
    }
    if !from.summaries.is_empty() {
        let keys: Vec<u32> = from.summaries.iter().map(|summary| summary.key).collect();
        u32_list(to.reborrow().init_named_keys(keys.len() as u32), &keys);
        let states = from.summaries.iter().flat_map(|n| [n.counter, n.load_age, n.load]);
        to.set_named_states(&states.collect::<Vec<u8>>());
    }
}

pub(super) fn heartbeat(mut to: wire::heartbeat::Builder<'_>, from: &Heartbeat) {
    member(to.reborrow().init_sender(), &from.sender);
    if !from.members.is_empty() {
        let mut members = to.reborrow().init_members(from.members.len() as u32);
        for (i, item) in from.members.iter().enumerate() {
            member(members.reborrow().get(i as u32), item);
        }
    }
    holdings(to.reborrow().init_holdings(from.holdings.len() as u32), &from.holdings);
    confirmation(to.reborrow().init_confirmation(), &from.confirmation);
    digest(to.reborrow(), &from.digest);
    if !from.wanted.is_empty() {
        u32_list(to.reborrow().init_wanted(from.wanted.len() as u32), &from.wanted);
    }
    to.set_wants_all(from.wants_all);
    if from.suspect_records.is_empty() {
        return;
    }
    let mut suspects = to.init_suspects(from.suspect_records.len() as u32);
    for (i, item) in from.suspect_records.iter().enumerate() {
        suspect_record(suspects.reborrow().get(i as u32), item);
    }
}

pub(super) fn lease_claim(mut to: wire::lease_claim::Builder<'_>, from: &LeaseClaim) {
    holding(to.reborrow().init_holding(), &from.holding);
    to.set_witness_incarnation(from.witness_incarnation.0);
}

pub(super) fn draw_request(mut to: wire::draw_request::Builder<'_>, from: &DrawRequest) {
    to.set_organisation(from.organisation.as_str());
    to.set_instance(from.instance.as_str());
    to.set_incarnation(from.incarnation.0);
    to.set_need_tokens(from.need_tokens.0);
    to.set_want_tokens(from.want_tokens.0);
    to.set_spent_tokens(from.spent_tokens.0);
    to.set_returned_tokens(from.returned_tokens.0);
    to.set_sequence(from.sequence);
    let mut refunds = to.init_refunds(from.refunds.len() as u32);
    for (i, refund) in from.refunds.iter().enumerate() {
        let mut item = refunds.reborrow().get(i as u32);
        item.set_granted_at_ms(refund.granted_at.as_ms());
        item.set_tokens(refund.tokens.0);
    }
}

pub(super) fn part_request(mut to: wire::part_request::Builder<'_>, from: &PartRequest) {
    to.set_region(from.region.as_str());
    to.set_holder_fencing(from.holder_fencing.0);
    to.set_fencing(from.fencing.0);
    to.set_sequence(from.sequence);
    let mut parts = to.init_held(from.held.len() as u32);
    for (i, held) in from.held.iter().enumerate() {
        let mut item = parts.reborrow().get(i as u32);
        item.set_organisation(held.organisation.as_str());
        item.set_share(held.share.millionths());
        item.set_used(held.used.millionths());
        item.set_demand(held.demand.0);
        item.set_need_tokens(held.need_tokens.0);
    }
}

pub(super) fn part_answer(mut to: wire::part_answer::Builder<'_>, from: &PartAnswer) {
    match from {
        PartAnswer::Parts(parts) => {
            let mut given = to.init_parts();
            given.set_fencing(parts.fencing.0);
            given.set_time_to_live_ms(parts.time_to_live_ms);
            let mut shares = given.init_shares(parts.shares.len() as u32);
            for (i, (organisation, share)) in parts.shares.iter().enumerate() {
                let mut item = shares.reborrow().get(i as u32);
                item.set_organisation(organisation.as_str());
                item.set_share(share.millionths());
            }
        }
        PartAnswer::NotHolder(known) => known_holding(to.init_not_holder(), known.as_ref()),
        PartAnswer::Stale => to.set_stale(()),
    }
}

pub(super) fn draw_answer(mut to: wire::draw_answer::Builder<'_>, from: &DrawAnswer) {
    match from {
        DrawAnswer::Granted(grant) => {
            let mut granted = to.init_granted();
            granted.set_tokens(grant.tokens.0);
            granted.set_granted_at_ms(grant.granted_at.as_ms());
            granted.set_time_to_live_ms(grant.time_to_live_ms);
            granted.set_retry_after_ms(grant.retry_after_ms);
        }
        DrawAnswer::NotHolder(known) => known_holding(to.init_not_holder(), known.as_ref()),
        DrawAnswer::UnknownOrganisation => to.set_unknown_organisation(()),
    }
}

pub(super) fn reported_claims(
    mut to: capnp::struct_list::Builder<'_, wire::reported_claim::Owned>,
    from: &[ReportedClaim],
) {
    for (i, claim) in from.iter().enumerate() {
        let mut to = to.reborrow().get(i as u32);
        to.set_organisation(claim.organisation.as_str());
        to.set_request(claim.request.as_str());
        to.set_attempt(claim.attempt.to_smolstr().as_str());
        to.set_completed(claim.kept_ms.is_some());
        to.set_kept_ms(claim.kept_ms.unwrap_or_default());
    }
}

pub(super) fn claim_reply(to: wire::claim_answer::Builder<'_>, from: &ClaimReply) {
    let mut to = to;
    match from {
        ClaimReply::Claimed => to.set_claimed(()),
        ClaimReply::Held { attempt, completed } => {
            let mut held = to.init_held();
            held.set_attempt(attempt.to_smolstr().as_str());
            held.set_completed(*completed);
        }
        ClaimReply::NotHolder(known) => known_holding(to.init_not_holder(), known.as_ref()),
    }
}

pub(super) fn admission(mut to: wire::admission::Builder<'_>, from: &Admission) {
    to.set_attempt(from.attempt.to_smolstr().as_str());
    to.set_organisation(from.organisation.as_str());
    to.set_shard(from.shard.to_smolstr().as_str());
    to.set_prompt_tokens(from.prompt_tokens.0);
    to.set_max_output_tokens(from.max_output_tokens.0);
    to.set_waiting(from.class == PriorityClass::Waiting);
    to.set_remaining_ms(from.remaining_ms);
    to.set_queue_ms(from.queue_ms);
    to.set_fingerprint(from.fingerprint.0);
    to.set_suspect(from.is_suspect);
    to.set_proof_tokens(from.proof_tokens.0);
    to.set_zone(from.zone.as_str());
    let mut hashes = to.reborrow().init_prefix_hashes(from.prefix_hashes.len() as u32);
    for (i, hash) in from.prefix_hashes.iter().enumerate() {
        hashes.set(i as u32, *hash);
    }
    let mut avoid = to.init_avoid(from.avoid.len() as u32);
    for (i, endpoint) in from.avoid.iter().enumerate() {
        avoid.set(i as u32, endpoint.as_str());
    }
}

fn plan(mut to: wire::plan::Builder<'_>, from: &Plan) {
    to.set_prefill(from.prefill.as_str());
    to.set_prefill_address(from.prefill_address.as_str());
    to.set_decode(from.decode.as_str());
    to.set_decode_address(from.decode_address.as_str());
    to.set_start_after_ms(from.start_after_ms);
    to.set_transfer_limit_ms(from.transfer_limit_ms);
    to.set_fencing(from.fencing.0);
    to.set_free_slots(from.free_slots);
}

pub(super) fn admit_answer(mut to: wire::admit_answer::Builder<'_>, from: &AdmitAnswer) {
    match from {
        AdmitAnswer::Plan(from) => plan(to.init_plan(), from),
        AdmitAnswer::Full { retry_after_ms, free_slots } => {
            let mut full = to.init_full();
            full.set_retry_after_ms(*retry_after_ms);
            full.set_free_slots(*free_slots);
        }
        AdmitAnswer::NotHolder(known) => known_holding(to.init_not_holder(), known.as_ref()),
        AdmitAnswer::NoEndpoint => to.set_no_endpoint(()),
    }
}

pub(super) fn finished_attempt(
    mut to: wire::finished_attempt::Builder<'_>,
    from: &FinishedAttempt,
) {
    to.set_attempt(from.attempt.to_smolstr().as_str());
    to.set_end(match from.end {
        AttemptEnd::Completed => wire::AttemptEnd::Completed,
        AttemptEnd::Cancelled => wire::AttemptEnd::Cancelled,
        AttemptEnd::Failed => wire::AttemptEnd::Failed,
        AttemptEnd::EndpointDied => wire::AttemptEnd::EndpointDied,
        AttemptEnd::PrefillWasted => wire::AttemptEnd::PrefillWasted,
    });
    to.set_endpoint(from.endpoint.as_ref().map_or("", |endpoint| endpoint.as_str()));
    to.set_output_tokens(from.output_tokens.0);
    to.set_first_token_ms(from.first_token_ms);
    to.set_decode_ms(from.decode_ms);
    to.set_unreached(from.is_unreached);
}

pub(super) fn progress_list(
    mut to: capnp::struct_list::Builder<'_, wire::progress::Owned>,
    from: &[Progress],
) {
    for (i, progress) in from.iter().enumerate() {
        let mut item = to.reborrow().get(i as u32);
        item.set_attempt(progress.attempt.to_smolstr().as_str());
        item.set_output_tokens(progress.output_tokens.0);
        item.set_organisation(progress.organisation.as_str());
        item.set_prefill(progress.prefill.as_str());
        item.set_decode(progress.decode.as_str());
        item.set_pieces(progress.pieces.0);
        item.set_remaining_ms(progress.remaining_ms);
        item.set_fingerprint(progress.fingerprint.0);
        item.set_suspect(progress.is_suspect);
        item.set_proof_tokens(progress.proof_tokens.0);
    }
}

pub(super) fn change(mut to: wire::change::Builder<'_>, from: &Change) {
    to.set_version(from.version.0);
    to.set_section(from.section.as_str());
    to.set_offset_bytes(from.offset_bytes);
    to.set_removed_bytes(from.removed_bytes);
    to.set_inserted(from.inserted.as_str());
    to.set_content_hash(from.content_hash.to_smolstr().as_str());
}
