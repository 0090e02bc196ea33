//! Decisions of the gateway: routing and placement at an entry, scheduling at an agent.
//!
//! The gateway runs on a platform that publishes the configuration and a list of backend servers.
//! An entry matches a caller's request to a route ([`RouteTable`]), picks a backend server
//! ([`Placement`]) from the listed ones ([`Directory`]) that may get new work ([`Eligibility`]), and
//! decides whether a request may be retried ([`RetryWindow`])
//! and which ones crash servers and are refused ([`Quarantine`]). An agent decides for its local model
//! engine which request starts, which adapter is loaded and which request is refused
//! ([`EngineScheduler`]).
//!
//! Nothing here reads a clock or a socket. The names of the platform's headers, store keys and JSON
//! fields are left to the caller, which decodes them into the types of this module.

pub mod message;

mod account;
mod account_shares;
mod account_table;
mod adapter_readiness;
mod adapter_slots;
mod adapter_version;
mod api_key;
mod base_models;
mod configuration;
mod crash;
mod crash_detector;
mod crash_evidence;
mod departed_servers;
mod directory;
mod eligibility;
mod engine_action;
mod engine_loads;
mod engine_queue;
mod engine_refusals;
mod engine_report;
mod engine_request;
mod engine_scheduler;
mod engine_versions;
mod engine_watch;
mod event_stream;
mod expected_waits;
mod expiring_map;
mod fetch_control;
mod fetch_queue;
mod fingerprint;
mod freshness;
mod grant_agent;
mod grant_views;
mod holdings;
mod host_copies;
mod idle_limit;
mod latest_starts;
mod load_times;
mod order;
mod order_tracker;
mod origin_evidence;
mod origin_replicas;
mod pacer;
mod past_versions;
mod placement;
mod prompt_rate;
mod quarantine;
mod quota;
mod quota_bucket;
mod quota_grants;
mod quota_lease;
mod quota_share;
mod rate_limit;
mod read_ages;
mod recent_crashes;
mod recent_maximum;
mod recent_pauses;
mod replacements;
mod request_metadata;
mod request_rate;
mod retry_budget;
mod retry_window;
mod route_table;
mod scheduler_settings;
mod send_grants;
mod server_entry;
mod server_health;
mod server_notice;
mod store_follow;
mod store_freshness;
mod store_position;
mod stream_origins;
mod suspect_sample;
mod timely_starts;
mod transfer_limit;
mod unproven_completions;
mod unreported;
mod version_constraint;
mod version_history;
mod weights_memory;
mod work_time;

pub use self::{
    account::Account,
    account_table::{AccountTable, KeyError, PresentedKey},
    adapter_readiness::AdapterReadiness,
    adapter_slots::{AdapterSlots, SlotState},
    adapter_version::{AdapterVersion, AdapterVersions},
    api_key::ApiKey,
    configuration::{
        CallerLimits, Configuration, EngineLimits, ModelLimits, RequestKind, Route, ServiceLimits,
        Split,
    },
    crash_detector::CrashDetector,
    directory::{Directory, ServerView},
    eligibility::{Eligibility, Ineligibility},
    engine_action::EngineAction,
    engine_report::{EngineReport, LoadedModel, VersionedAdapter},
    engine_request::{EngineRefusal, EngineRequest},
    engine_scheduler::EngineScheduler,
    engine_watch::{EngineWatch, MissingReport},
    event_stream::{EventSplitter, StreamEvent},
    fetch_queue::FetchQueue,
    fingerprint::{
        part_fingerprint, request_fingerprint, server_start_fingerprint, service_fingerprint,
    },
    freshness::Freshness,
    grant_agent::{GrantAgent, GrantCandidate, pick_grant_agent, rate_without_agent},
    grant_views::{GrantView, GrantViews, GrantedRate, RateQuestion, agent_list_fingerprint},
    holdings::{Holding, Holdings, HoldingsTracker, adapter_key},
    idle_limit::IdleLimit,
    order::{Order, OrderKind, OrderOutcome},
    origin_evidence::{OriginEvidence, OriginRecord, OriginVerdict},
    origin_replicas::{ReplicaCandidate, pick_replicas, pick_witnesses},
    pacer::Pacer,
    past_versions::PastVersions,
    placement::{Affinity, Candidate, Placement, PlacementCosts, plain_wait_ms},
    quarantine::{ProvenCompletion, Quarantine},
    quota::{Quota, QuotaUnit},
    quota_grants::{QuotaGrant, QuotaGrants, QuotaQuestion},
    quota_lease::{QuotaLease, QuotaStep},
    quota_share::{QUOTA_SHARES, QuotaShare, pick_quota_agent, quota_share_key},
    rate_limit::{RateChange, RateLimit, RateSource},
    read_ages::ReadAges,
    recent_maximum::RecentMaximum,
    recent_pauses::RecentPauses,
    request_metadata::RequestMetadata,
    request_rate::{RateStatement, RequestRate},
    retry_budget::RetryBudget,
    retry_window::RetryWindow,
    route_table::{RouteMatch, RouteTable},
    scheduler_settings::SchedulerSettings,
    send_grants::{SendGrant, SendGrants},
    server_entry::{ServerEntry, ServerLoad},
    server_health::ServerHealth,
    server_notice::{Announcement, PauseSource, RequestedPause, ServerNotice},
    store_follow::{AnswerEra, AnswerUse, DiscardReason, StoreFollow, StoreRead},
    store_freshness::StoreFreshness,
    store_position::StorePosition,
    stream_origins::StreamOrigins,
    transfer_limit::TransferLimit,
    unreported::UnreportedWork,
    version_constraint::VersionConstraint,
    version_history::VersionHistory,
    work_time::WorkTime,
};
