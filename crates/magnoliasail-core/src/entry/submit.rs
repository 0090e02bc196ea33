//! Authentication, resolution and admission of submitted requests.

use {
    super::{
        Entry, EntryAction, Failure, RequestKind, Submission,
        request::{Request, Stage, Target},
    },
    crate::{
        AdmissionDecision, Outcome, Placement, RefusalReason, SuspectStatus, TimeMs, job::JobKey,
        table::Table,
    },
    std::sync::Arc,
    xxhash_rust::xxh3::Xxh3,
};

impl<P: Placement> Entry<P> {
    pub(super) fn submit(
        &mut self,
        now_ms: TimeMs,
        submission: Submission,
        actions: &mut Vec<EntryAction>,
    ) {
        let id = submission.request;
        match self.prepare(now_ms, submission) {
            Ok(request) => self.admit(now_ms, id, request, actions),
            Err(failure) => actions.push(EntryAction::Failed {
                request: id,
                failure,
            }),
        }
    }

    fn prepare(&self, now_ms: TimeMs, submission: Submission) -> Result<Request, Failure> {
        let table = self.active_table.table();
        let has_key = idempotency_key(&submission.kind).is_some();
        let refuse = |reason, retry_after_ms| Failure {
            reason,
            outcome: if has_key {
                Outcome::Unknown
            } else {
                Outcome::NotRun
            },
            retry_after_ms,
        };
        if self.is_draining {
            return Err(refuse(RefusalReason::Draining, 1_000));
        }
        if !self.readiness.is_ready(now_ms, table.version) {
            return Err(refuse(RefusalReason::NotConfigured, 1_000));
        }
        let population = table
            .population(&submission.bearer)
            .ok_or_else(|| refuse(RefusalReason::Unauthorized, 0))?;
        let population = &table.populations[population];
        let fingerprint = fingerprint(&population.name, &submission);
        let target = resolve(table, submission.kind).map_err(|reason| refuse(reason, 0))?;
        if self.suspects.status(fingerprint, now_ms) == SuspectStatus::Quarantined {
            return Err(refuse(RefusalReason::Poisonous, 0));
        }
        Ok(Request {
            population: Arc::clone(&population.name),
            priority: population.priority,
            target,
            body: submission.body,
            fingerprint,
            deadline_ms: now_ms.saturating_add(submission.budget_ms),
            placing_since_ms: now_ms,
            stage: Stage::Queued,
            attempts: 0,
            excluded: Vec::new(),
            may_have_run: false,
            has_started_response: false,
            epoch: 0,
        })
    }

    fn admit(&mut self, now_ms: TimeMs, id: u64, request: Request, actions: &mut Vec<EntryAction>) {
        let decision = self.admission.offer(now_ms, &request.population, id);
        if let AdmissionDecision::Refused {
            reason,
            retry_after_ms,
        } = decision
        {
            let failure = Failure {
                reason,
                outcome: request.outcome(),
                retry_after_ms,
            };
            actions.push(EntryAction::Failed {
                request: id,
                failure,
            });
            return;
        }
        if let Target::Model { adapter } = &request.target {
            self.demand.observe(adapter, now_ms);
        }
        self.deadlines.insert((request.deadline_ms, id));
        self.requests.insert(id, request);
        self.retry_budget.deposit();
        if decision == AdmissionDecision::Admitted {
            self.start_placing(now_ms, id, actions);
        }
    }

    /// Starts queued requests while admission lets more of them run.
    pub(super) fn start_queued(&mut self, now_ms: TimeMs, actions: &mut Vec<EntryAction>) {
        while let Some(id) = self.admission.next_request() {
            self.start_placing(now_ms, id, actions);
        }
    }

    fn start_placing(&mut self, now_ms: TimeMs, id: u64, actions: &mut Vec<EntryAction>) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.stage = Stage::Placing;
            request.placing_since_ms = now_ms;
        }
        self.add_pending(id);
        self.place(now_ms, id, actions);
    }
}

const fn idempotency_key(kind: &RequestKind) -> Option<&Arc<str>> {
    match kind {
        RequestKind::Service { key, .. } => key.as_ref(),
        RequestKind::Model { .. } => None,
    }
}

fn resolve(table: &Table, kind: RequestKind) -> Result<Target, RefusalReason> {
    match kind {
        RequestKind::Model { model } => {
            let adapter = table.resolve(&model).ok_or(RefusalReason::UnknownModel)?;
            Ok(Target::Model { adapter })
        }
        RequestKind::Service {
            service,
            method,
            path,
            content_type,
            key,
        } => {
            let row = table
                .service(&service, &method, &path)
                .ok_or(RefusalReason::UnknownService)?;
            let key = match key {
                _ if row.repeatable => None,
                None => return Err(RefusalReason::KeyMissing),
                Some(key) => Some(JobKey::parse(&key).ok_or(RefusalReason::BadRequest)?),
            };
            Ok(Target::Service {
                service,
                method,
                path,
                content_type,
                key,
            })
        }
    }
}

/// Returns a hash of everything that determines what a request does.
///
/// The idempotency key is left out, so that resending the request with a new key doesn't change
/// its fingerprint.
fn fingerprint(population: &str, submission: &Submission) -> u64 {
    let mut hasher = Xxh3::new();
    let mut field = |bytes: &[u8]| {
        hasher.update(&(bytes.len() as u64).to_le_bytes());
        hasher.update(bytes);
    };
    field(population.as_bytes());
    match &submission.kind {
        RequestKind::Model { model } => field(model.as_bytes()),
        RequestKind::Service {
            service,
            method,
            path,
            ..
        } => {
            field(service.as_bytes());
            field(method.as_bytes());
            field(path.as_bytes());
        }
    }
    field(&submission.body);
    hasher.digest()
}
