//! The servers that an entry uses while the platform's store is restored from older copies.

use {
    crate::fake_store::{Answer, FakeStore, Write, for_each_seed},
    arbtest::arbitrary::{Result, Unstructured},
    magnoliasail_core::gateway::{
        AnswerEra, AnswerUse, Directory, Freshness, ServerEntry, StoreFollow, StoreRead,
        VersionConstraint,
    },
    std::collections::{BTreeMap, BTreeSet, HashMap},
};

const SERVERS: u8 = 5;
const MAX_STEP_MS: u64 = 1_000;
/// Time after a restoration within which the servers write their rows again, and the platform
/// removes those of servers that are gone.
const REWRITE_MS: u64 = 3_000;
/// Time until a removal takes effect after an outage.
const GRACE_MS: u64 = 2_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Ready,
    Draining,
    Gone,
}

/// One start of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Start {
    server: u8,
    started_ms: u64,
}

/// The servers as they really are, and the store in which they write.
#[derive(Debug)]
struct World {
    now_ms: u64,
    store: FakeStore,
    /// The rows by the number of their write.
    rows: HashMap<u64, ServerEntry>,
    servers: BTreeMap<u8, (Start, Stage)>,
    /// When the rows that a restoration lost are written again.
    rewrite_ms: Option<u64>,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            now_ms: 10_000,
            store: FakeStore::default(),
            rows: HashMap::new(),
            servers: BTreeMap::new(),
            rewrite_ms: None,
        };
        for server in 0..SERVERS {
            world.start(server);
        }
        world
    }

    fn start(&mut self, server: u8) {
        // Two starts of a server differ in their times.
        self.now_ms += 1;
        let start = Start {
            server,
            started_ms: self.now_ms,
        };
        self.servers.insert(server, (start, Stage::Ready));
        self.write(server);
    }

    fn set_stage(&mut self, server: u8, stage: Stage) {
        if let Some((_, current)) = self.servers.get_mut(&server) {
            *current = stage;
        }
        self.write(server);
    }

    fn stage(&self, server: u8) -> Stage {
        self.servers[&server].1
    }

    /// Writes the row of a server, or removes it if the server is gone.
    fn write(&mut self, server: u8) {
        let (start, stage) = self.servers[&server];
        let row = ServerEntry {
            id: format!("key-{server}").into(),
            service: "s".into(),
            software_version: None,
            address: ([10, 0, 0, 1], u16::from(server)).into(),
            data_centre: "a".into(),
            slots: 4,
            is_draining: stage == Stage::Draining,
            started_ms: Some(start.started_ms),
            models: Vec::new(),
        };
        let number = self.store.write(server, stage == Stage::Gone);
        self.rows.insert(number, row);
    }

    fn roll_back(&mut self, lost: usize) {
        self.store.roll_back(lost);
        self.rewrite_ms.get_or_insert(self.now_ms + REWRITE_MS);
    }

    fn pass_time(&mut self, time_ms: u64) {
        self.now_ms += time_ms;
        if self.rewrite_ms.is_some_and(|at_ms| at_ms <= self.now_ms) {
            self.rewrite();
        }
    }

    fn rewrite(&mut self) {
        self.rewrite_ms = None;
        for server in 0..SERVERS {
            self.write(server);
        }
    }

    fn change(&mut self, source: &mut Unstructured<'_>) -> Result<()> {
        let server = source.int_in_range(0..=SERVERS - 1)?;
        match (source.int_in_range(0..=9_u8)?, self.stage(server)) {
            (0 | 1, Stage::Ready) => self.set_stage(server, Stage::Draining),
            (0..=2, Stage::Ready | Stage::Draining) => self.set_stage(server, Stage::Gone),
            (0..=2, Stage::Gone) => self.start(server),
            (3 | 4, _) => self.roll_back(source.int_in_range(0..=8)?),
            (5, _) => self.store.compacted_revision = self.store.revision(),
            _ => self.pass_time(source.int_in_range(0..=MAX_STEP_MS)?),
        }
        Ok(())
    }

    fn ready(&self) -> BTreeSet<Start> {
        let ready = self.servers.values();
        ready
            .filter(|(_, stage)| *stage == Stage::Ready)
            .map(|(start, _)| *start)
            .collect()
    }
}

/// An entry's view of the servers.
#[derive(Debug, Default)]
struct Entry {
    follow: StoreFollow,
    directory: Directory,
    /// Starts of which the entry was told that they drain.
    drained: BTreeSet<Start>,
    /// When the entry must no longer use a start that has left and of whose removal it was told.
    left_ms: BTreeMap<Start, u64>,
}

impl Entry {
    fn lose_read(&mut self, now_ms: u64) {
        self.directory.mark_list_unreliable(now_ms);
    }

    fn read(&mut self, answer: &Answer, world: &World) {
        match (
            self.follow.judge(AnswerEra::Named(answer.era)),
            &answer.writes,
        ) {
            (AnswerUse::Apply, Some(writes)) => self.apply(writes, answer, world),
            (AnswerUse::Apply, None) => self.follow.list_afresh(),
            (AnswerUse::ListAfresh | AnswerUse::Discard(_), _) => {
                self.directory.mark_list_unreliable(world.now_ms);
            }
        }
        self.directory.prune(world.now_ms);
    }

    fn apply(&mut self, writes: &[Write], answer: &Answer, world: &World) {
        self.follow.begin_page(answer.revision);
        for write in writes {
            let is_removed = write.content.is_none();
            let freshness = self.follow.record(&write.key, write.revision, is_removed);
            let row = write.content.map(|number| world.rows[&number].clone());
            match (freshness, row) {
                (Some(freshness), Some(row)) => {
                    let is_of_copy = write.era < answer.era;
                    self.note_row(&row, is_of_copy);
                    self.apply_row(row, freshness, world.now_ms);
                }
                (Some(_), None) => self.remove(&write.key, world),
                (None, _) => {}
            }
        }
        for key in self.follow.end_page(answer.revision, answer.has_more) {
            self.remove(&key, world);
        }
    }

    /// Notes what a row says. Only one that was written since the restoration undoes a removal.
    fn note_row(&mut self, row: &ServerEntry, is_of_copy: bool) {
        if row.is_draining {
            self.drained.insert(start(row));
        }
        if !is_of_copy {
            self.left_ms.remove(&start(row));
        }
    }

    fn apply_row(&mut self, row: ServerEntry, freshness: Freshness, now_ms: u64) {
        match freshness {
            Freshness::Written => self.directory.insert(row, now_ms),
            Freshness::Restored => self.directory.restore(row, now_ms),
        }
    }

    /// A server that is ready may be missing from a copy: it has not left.
    fn remove(&mut self, id: &str, world: &World) {
        if let Some(server) = self.directory.get(id) {
            let start = start(&server.entry);
            if !world.ready().contains(&start) {
                let left_ms = world.now_ms + GRACE_MS;
                self.left_ms.entry(start).or_insert(left_ms);
            }
        }
        self.directory.remove(id, world.now_ms);
    }

    fn usable(&self, now_ms: u64) -> BTreeSet<Start> {
        self.directory
            .usable("s", &VersionConstraint::Any, now_ms)
            .map(|server| start(&server.entry))
            .collect()
    }

    /// Checks that no server is used that has left and is known to have left.
    fn check(&self, world: &World) {
        let ready = world.ready();
        for start in self.usable(world.now_ms) {
            let left_ms = self.left_ms.get(&start);
            let is_told = self.drained.contains(&start)
                || left_ms.is_some_and(|&left_ms| left_ms <= world.now_ms);
            assert!(
                ready.contains(&start) || !is_told,
                "{start:?} is used again at {} ms: {:?}",
                world.now_ms,
                world.servers
            );
        }
    }
}

fn start(row: &ServerEntry) -> Start {
    Start {
        server: row.address.port() as u8,
        started_ms: row.started_ms.unwrap_or(0),
    }
}

/// Whatever is lost, late or rolled back: a server that an entry knows to have left is not used
/// again, and once the store is calm, exactly the servers that are ready are used.
#[test]
fn restorations_neither_bring_back_servers_that_left_nor_keep_ready_ones_out() {
    for_each_seed(|source| {
        let mut world = World::new();
        let mut entry = Entry::default();
        let mut earlier_stores = vec![world.store.clone()];
        while !source.is_empty() {
            earlier_stores.push(world.store.clone());
            world.change(source)?;
            let read = entry.follow.next_read();
            match source.int_in_range(0..=5_u8)? {
                0 => entry.lose_read(world.now_ms),
                1 => {
                    let era = world.store.era;
                    let earlier = earlier_stores.iter().rev().find(|store| store.era < era);
                    if let Some(earlier) = earlier {
                        entry.read(&earlier.answer(&read), &world);
                    }
                }
                _ => entry.read(&world.store.answer(&read), &world),
            }
            entry.check(&world);
        }
        world.rewrite();
        for _ in 0..30 {
            world.pass_time(MAX_STEP_MS);
            let read = entry.follow.next_read();
            entry.read(&world.store.answer(&read), &world);
            entry.check(&world);
        }
        assert!(matches!(entry.follow.next_read(), StoreRead::Watch { .. }));
        assert_eq!(entry.usable(world.now_ms), world.ready());
        Ok(())
    });
}
