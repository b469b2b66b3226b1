//! Decodes messages from Cap'n Proto readers.

use std::str::FromStr;

use smol_str::SmolStr;

use crate::budget::{
    DrawAnswer, DrawRequest, Grant, GrantedParts, HeldPart, PartAnswer, PartRequest, Refund,
    ReportedClaim, Share,
};
use crate::clock::Instant;
use crate::config::{Change, Confirmation};
use crate::lease::{Holding, LeaseClaim};
use crate::peer::{ClaimReply, Digest, Heartbeat, Member, MemberSummary, PeerError};
use crate::peer_capnp as wire;
use crate::pool::{
    Admission, AdmitAnswer, AttemptEnd, FinishedAttempt, Plan, PriorityClass, Progress,
};
use crate::suspect::SuspectRecord;
use crate::units::{
    FencingToken, Fingerprint, Incarnation, OrganisationId, Pieces, RegionId, ShardId, Tokens,
    TokensPerSecond, UnitError, Version, ZoneId,
};

type Decoded<T> = Result<T, PeerError>;
type Text<'a> = capnp::Result<capnp::text::Reader<'a>>;

pub(super) fn parse<T: FromStr<Err = UnitError>>(text: Text<'_>) -> Decoded<T> {
    Ok(text?.to_str()?.parse()?)
}

pub(super) fn string(text: Text<'_>) -> Decoded<SmolStr> {
    Ok(text?.to_str()?.into())
}

pub(super) fn member(from: wire::member::Reader<'_>) -> Decoded<Member> {
    Ok(Member {
        instance: parse(from.get_instance())?,
        incarnation: Incarnation(from.get_incarnation()),
        peer_address: string(from.get_peer_address())?,
        http_address: string(from.get_http_address())?,
        // Empty in a brief record.
        zone: ZoneId::new(from.get_zone()?.to_str()?),
        region: RegionId::new(from.get_region()?.to_str()?),
        is_leaving: from.get_leaving(),
        heartbeat_counter: from.get_heartbeat_counter(),
        load_permille: from.get_load_permille(),
    })
}

pub(super) fn holding(from: wire::holding::Reader<'_>) -> Decoded<Holding> {
    Ok(Holding {
        shard: parse(from.get_shard())?,
        holder: parse(from.get_holder())?,
        incarnation: Incarnation(from.get_incarnation()),
        fencing: FencingToken(from.get_fencing()),
    })
}

/// An empty holding represents an unknown holder.
fn known_holding(from: wire::holding::Reader<'_>) -> Decoded<Option<Holding>> {
    if from.get_shard()?.is_empty() { Ok(None) } else { holding(from).map(Some) }
}

pub(super) fn holdings(
    from: capnp::struct_list::Reader<'_, wire::holding::Owned>,
) -> Decoded<Vec<Holding>> {
    from.iter().map(holding).collect()
}

pub(super) fn shards(from: capnp::text_list::Reader<'_>) -> Decoded<Vec<ShardId>> {
    from.iter().map(parse).collect()
}

fn confirmation(from: wire::confirmation::Reader<'_>) -> Confirmation {
    Confirmation {
        version: Version(from.get_version()),
        has_store: from.get_has_store(),
        confirmed_age_ms: from.get_confirmed_age_ms(),
    }
}

fn suspect_record(from: wire::suspect::Reader<'_>) -> SuspectRecord {
    SuspectRecord {
        fingerprint: Fingerprint(from.get_fingerprint()),
        crashes: from.get_crashes(),
        remaining_ms: from.get_remaining_ms(),
        output_tokens: Tokens(from.get_output_tokens()),
    }
}

fn digest(from: wire::heartbeat::Reader<'_>) -> Decoded<Digest> {
    let states = from.get_named_states()?.as_chunks::<3>().0;
    let summaries = from.get_named_keys()?.iter().zip(states).map(|(key, state)| {
        let [counter, load_age, load] = *state;
        MemberSummary { key, counter, load_age, load }
    });
    Ok(Digest {
        first_group: from.get_first_group(),
        group_hashes: from.get_group_hashes()?.iter().collect(),
        group_sizes: from.get_group_sizes()?.to_vec(),
        counters: from.get_counters()?.to_vec(),
        summaries: summaries.collect(),
    })
}

pub(super) fn heartbeat(from: wire::heartbeat::Reader<'_>) -> Decoded<Heartbeat> {
    Ok(Heartbeat {
        sender: member(from.get_sender()?)?,
        members: from.get_members()?.iter().map(member).collect::<Decoded<_>>()?,
        digest: digest(from)?,
        wanted: from.get_wanted()?.iter().collect(),
        wants_all: from.get_wants_all(),
        holdings: holdings(from.get_holdings()?)?,
        confirmation: confirmation(from.get_confirmation()?),
        suspect_records: from.get_suspects()?.iter().map(suspect_record).collect(),
    })
}

pub(super) fn lease_claim(from: wire::lease_claim::Reader<'_>) -> Decoded<LeaseClaim> {
    Ok(LeaseClaim {
        holding: holding(from.get_holding()?)?,
        witness_incarnation: Incarnation(from.get_witness_incarnation()),
    })
}

pub(super) fn draw_request(from: wire::draw_request::Reader<'_>) -> Decoded<DrawRequest> {
    let refund = |from: wire::refund::Reader<'_>| Refund {
        granted_at: Instant::from_ms(from.get_granted_at_ms()),
        tokens: Tokens(from.get_tokens()),
    };
    Ok(DrawRequest {
        organisation: parse(from.get_organisation())?,
        instance: parse(from.get_instance())?,
        incarnation: Incarnation(from.get_incarnation()),
        need_tokens: Tokens(from.get_need_tokens()),
        want_tokens: Tokens(from.get_want_tokens()),
        spent_tokens: Tokens(from.get_spent_tokens()),
        returned_tokens: Tokens(from.get_returned_tokens()),
        refunds: from.get_refunds()?.iter().map(refund).collect(),
        sequence: from.get_sequence(),
    })
}

pub(super) fn part_request(from: wire::part_request::Reader<'_>) -> Decoded<PartRequest> {
    let held = |from: wire::held_part::Reader<'_>| -> Decoded<HeldPart> {
        Ok(HeldPart {
            organisation: parse(from.get_organisation())?,
            share: Share::from_millionths(from.get_share()),
            used: Share::from_millionths(from.get_used()),
            demand: TokensPerSecond(from.get_demand()),
            need_tokens: Tokens(from.get_need_tokens()),
        })
    };
    Ok(PartRequest {
        region: parse(from.get_region())?,
        holder_fencing: FencingToken(from.get_holder_fencing()),
        fencing: FencingToken(from.get_fencing()),
        sequence: from.get_sequence(),
        held: from.get_held()?.iter().map(held).collect::<Decoded<_>>()?,
    })
}

pub(super) fn part_answer(from: wire::part_answer::Reader<'_>) -> Decoded<PartAnswer> {
    use wire::part_answer::Which;
    let share = |from: wire::part_share::Reader<'_>| -> Decoded<(OrganisationId, Share)> {
        Ok((parse(from.get_organisation())?, Share::from_millionths(from.get_share())))
    };
    Ok(match from.which()? {
        Which::Parts(parts) => PartAnswer::Parts(GrantedParts {
            fencing: FencingToken(parts.get_fencing()),
            time_to_live_ms: parts.get_time_to_live_ms(),
            shares: parts.get_shares()?.iter().map(share).collect::<Decoded<_>>()?,
        }),
        Which::NotHolder(known) => PartAnswer::NotHolder(known_holding(known?)?),
        Which::Stale(()) => PartAnswer::Stale,
    })
}

pub(super) fn draw_answer(from: wire::draw_answer::Reader<'_>) -> Decoded<DrawAnswer> {
    use wire::draw_answer::Which;
    Ok(match from.which()? {
        Which::Granted(granted) => DrawAnswer::Granted(Grant {
            tokens: Tokens(granted.get_tokens()),
            granted_at: Instant::from_ms(granted.get_granted_at_ms()),
            time_to_live_ms: granted.get_time_to_live_ms(),
            retry_after_ms: granted.get_retry_after_ms(),
        }),
        Which::NotHolder(known) => DrawAnswer::NotHolder(known_holding(known?)?),
        Which::UnknownOrganisation(()) => DrawAnswer::UnknownOrganisation,
    })
}

pub(super) fn reported_claim(from: wire::reported_claim::Reader<'_>) -> Decoded<ReportedClaim> {
    Ok(ReportedClaim {
        organisation: parse(from.get_organisation())?,
        request: parse(from.get_request())?,
        attempt: parse(from.get_attempt())?,
        kept_ms: from.get_completed().then(|| from.get_kept_ms()),
    })
}

pub(super) fn claim_reply(from: wire::claim_answer::Reader<'_>) -> Decoded<ClaimReply> {
    use wire::claim_answer::Which;
    Ok(match from.which()? {
        Which::Claimed(()) => ClaimReply::Claimed,
        Which::Held(held) => ClaimReply::Held {
            attempt: parse(held.get_attempt())?,
            completed: held.get_completed(),
        },
        Which::NotHolder(known) => ClaimReply::NotHolder(known_holding(known?)?),
    })
}

pub(super) fn admission(from: wire::admission::Reader<'_>) -> Decoded<Admission> {
    Ok(Admission {
        attempt: parse(from.get_attempt())?,
        organisation: parse(from.get_organisation())?,
        shard: parse(from.get_shard())?,
        prompt_tokens: Tokens(from.get_prompt_tokens()),
        max_output_tokens: Tokens(from.get_max_output_tokens()),
        prefix_hashes: from.get_prefix_hashes()?.iter().collect(),
        class: if from.get_waiting() { PriorityClass::Waiting } else { PriorityClass::Interactive },
        remaining_ms: from.get_remaining_ms(),
        queue_ms: from.get_queue_ms(),
        fingerprint: Fingerprint(from.get_fingerprint()),
        is_suspect: from.get_suspect(),
        proof_tokens: Tokens(from.get_proof_tokens()),
        avoid: from.get_avoid()?.iter().map(parse).collect::<Decoded<_>>()?,
        zone: parse(from.get_zone())?,
    })
}

fn plan(from: wire::plan::Reader<'_>) -> Decoded<Plan> {
    Ok(Plan {
        prefill: parse(from.get_prefill())?,
        prefill_address: string(from.get_prefill_address())?,
        decode: parse(from.get_decode())?,
        decode_address: string(from.get_decode_address())?,
        start_after_ms: from.get_start_after_ms(),
        transfer_limit_ms: from.get_transfer_limit_ms(),
        fencing: FencingToken(from.get_fencing()),
        free_slots: from.get_free_slots(),
    })
}

pub(super) fn admit_answer(from: wire::admit_answer::Reader<'_>) -> Decoded<AdmitAnswer> {
    use wire::admit_answer::Which;
    Ok(match from.which()? {
        Which::Plan(from) => AdmitAnswer::Plan(plan(from?)?),
        Which::Full(full) => AdmitAnswer::Full {
            retry_after_ms: full.get_retry_after_ms(),
            free_slots: full.get_free_slots(),
        },
        Which::NotHolder(known) => AdmitAnswer::NotHolder(known_holding(known?)?),
        Which::NoEndpoint(()) => AdmitAnswer::NoEndpoint,
    })
}

pub(super) fn finished_attempt(
    from: wire::finished_attempt::Reader<'_>,
) -> Decoded<FinishedAttempt> {
    let endpoint = from.get_endpoint();
    Ok(FinishedAttempt {
        attempt: parse(from.get_attempt())?,
        end: match from.get_end()? {
            wire::AttemptEnd::Completed => AttemptEnd::Completed,
            wire::AttemptEnd::Cancelled => AttemptEnd::Cancelled,
            wire::AttemptEnd::Failed => AttemptEnd::Failed,
            wire::AttemptEnd::EndpointDied => AttemptEnd::EndpointDied,
            wire::AttemptEnd::PrefillWasted => AttemptEnd::PrefillWasted,
        },
        endpoint: if endpoint.clone()?.is_empty() { None } else { Some(parse(endpoint)?) },
        is_unreached: from.get_unreached(),
        output_tokens: Tokens(from.get_output_tokens()),
        first_token_ms: from.get_first_token_ms(),
        decode_ms: from.get_decode_ms(),
    })
}

pub(super) fn progress_list(
    from: capnp::struct_list::Reader<'_, wire::progress::Owned>,
) -> Decoded<Vec<Progress>> {
    let progress = |from: wire::progress::Reader<'_>| {
        Ok(Progress {
            attempt: parse(from.get_attempt())?,
            output_tokens: Tokens(from.get_output_tokens()),
            organisation: parse(from.get_organisation())?,
            prefill: parse(from.get_prefill())?,
            decode: parse(from.get_decode())?,
            pieces: Pieces(from.get_pieces()),
            remaining_ms: from.get_remaining_ms(),
            fingerprint: Fingerprint(from.get_fingerprint()),
            is_suspect: from.get_suspect(),
            proof_tokens: Tokens(from.get_proof_tokens()),
        })
    };
    from.iter().map(progress).collect()
}

pub(super) fn change(from: wire::change::Reader<'_>) -> Decoded<Change> {
    Ok(Change {
        version: Version(from.get_version()),
        section: string(from.get_section())?,
        offset_bytes: from.get_offset_bytes(),
        removed_bytes: from.get_removed_bytes(),
        inserted: from.get_inserted()?.to_str()?.into(),
        content_hash: parse(from.get_content_hash())?,
    })
}
