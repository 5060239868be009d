//! Client connections and their statements.

use std::net::SocketAddr;
use std::time::Duration;

use medlarstile::types::{ConnectionId, RequestId};
use rand_chacha::rand_core::RngCore;
use stakker::{actor, call, ret_some_to, StopCause, CX};
use stakker_mio::mio::net::TcpStream;

use super::{timestamp, Client, EndpointServer, Job};
use crate::emulator::endpoint::connection::{Admission, Connection, ConnectionSpec, Delivery};
use crate::emulator::endpoint::database::{Backend, Bound, TransactionState};
use crate::emulator::endpoint::error::{SqlError, CANCELED};
use crate::emulator::endpoint::fault::AnswerFault;
use crate::emulator::endpoint::role::Role;
use crate::emulator::endpoint::session::{Reply, Request};
use crate::emulator::endpoint::sql::{evaluate, Statement};
use crate::emulator::endpoint::value::{ColumnType, Value};

impl EndpointServer {
    pub(super) fn accept_client(&mut self, cx: CX![], stream: TcpStream, peer: SocketAddr) {
        if self.database.member.role() == Role::Crashed {
            return;
        }
        let id = ConnectionId(self.take_id());
        let spec = ConnectionSpec {
            server: Self::this(cx),
            id,
            credentials: self.credentials.clone(),
            frozen: self.faults.cuts_client(peer.ip(), None),
            report: self.report.clone(),
        };
        let ended = ret_some_to!([cx], |this, cx, _cause: StopCause| {
            this.client_ended(cx, id);
        });
        let actor = actor!(cx, Connection::init(stream, spec), ended);
        let secret = self.rng.next_u32() as i32;
        let client = Client { actor, peer: peer.ip(), application: None, secret, job: None };
        self.clients.insert(id, client);
    }

    /// A connection has sent its start-up message.
    pub fn admit(&mut self, _cx: CX![], id: ConnectionId, application: String) {
        let open = self.clients.values().filter(|client| client.application.is_some()).count();
        let Some(client) = self.clients.get_mut(&id) else { return };
        if self.faults.cuts_client(client.peer, Some(&application)) {
            call!([client.actor], set_frozen(true));
            return;
        }
        if open >= self.max_connections {
            self.counts.connections_refused += 1;
            call!([client.actor], admitted(None));
            return;
        }
        client.application = Some(application);
        self.backends.insert(id, Backend::default());
        self.counts.connections_admitted += 1;
        self.counts.most_connections = self.counts.most_connections.max(open + 1);
        let admission =
            Admission { secret: client.secret, accept_delay: self.accept_delay.to_std() };
        call!([client.actor], admitted(Some(admission)));
    }

    /// A connection asks something of the database.
    pub fn request(&mut self, cx: CX![], id: ConnectionId, request: Request) {
        self.refresh(cx);
        let Some(backend) = self.backends.get_mut(&id) else { return };
        match request {
            Request::Describe(statement, declared) => {
                match self.database.describe(backend, &statement, &declared) {
                    Ok(shape) => self.reply(id, Reply::Shape(shape)),
                    Err(error) => self.fail(id, error),
                }
            }
            Request::Fail(error) => self.fail(id, error),
            Request::Report => self.reply(id, Reply::Report),
            Request::Run(statements) => {
                if statements.iter().any(|bound| bound.statement.takes_slot()) {
                    self.submit(cx, id, statements);
                } else {
                    self.run(cx, id, &statements, None);
                }
            }
        }
    }

    /// A cancel request from another connection.
    pub fn cancel(&mut self, cx: CX![], pid: i32, secret: Option<i32>) {
        let wanted = |(id, client): &(&ConnectionId, &mut Client)| {
            id.0 as i32 == pid && Some(client.secret) == secret
        };
        let Some((id, client)) = self.clients.iter_mut().find(wanted) else { return };
        let (id, Some(job)) = (*id, client.job.take()) else { return };
        self.slots.cancel(timestamp(cx), job);
        self.jobs.remove(&job);
        self.counts.canceled += 1;
        self.fail(id, CANCELED.error());
        self.advance(cx);
    }

    pub(super) fn finish_job(&mut self, cx: CX![], job: RequestId) {
        let Some(job) = self.jobs.remove(&job) else { return };
        self.counts.statements += 1;
        if let Some(client) = self.clients.get_mut(&job.client) {
            client.job = None;
        }
        let fault = self.faults.next_answer.take();
        self.run(cx, job.client, &job.statements, fault);
        if !self.clients.contains_key(&job.client) {
            self.remove_backend(job.client);
        }
    }

    /// Forgets every client connection; jobs that run are lost with them.
    pub(super) fn close_clients(&mut self) {
        self.clients.clear();
        self.jobs.clear();
        self.slots.clear();
        for id in self.backends.keys().copied().collect::<Vec<_>>() {
            self.remove_backend(id);
        }
    }

    /// A statement that already waits or runs takes its effect although nobody reads the answer,
    /// as on a server that notices the closed connection when it answers.
    fn client_ended(&mut self, _cx: CX![], id: ConnectionId) {
        let ended = self.clients.remove(&id);
        if ended.is_some_and(|client| client.job.is_none()) {
            self.remove_backend(id);
        }
    }

    fn remove_backend(&mut self, id: ConnectionId) {
        if let Some(mut backend) = self.backends.remove(&id) {
            self.database.roll_back(&mut backend);
        }
    }

    fn submit(&mut self, cx: CX![], id: ConnectionId, statements: Vec<Bound>) {
        let job = RequestId(self.take_id());
        let service = statements.iter().map(|bound| self.service + sleep(bound)).sum();
        if let Some(client) = self.clients.get_mut(&id) {
            client.job = Some(job);
        }
        self.jobs.insert(job, Job { client: id, statements });
        self.slots.submit(timestamp(cx), job, service);
        self.advance(cx);
    }

    fn run(
        &mut self,
        cx: CX![],
        id: ConnectionId,
        statements: &[Bound],
        fault: Option<AnswerFault>,
    ) {
        let Some(backend) = self.backends.get_mut(&id) else { return };
        let results = self.database.run_all(backend, statements);
        self.counts.errors += u64::from(results.error.is_some());
        self.refresh(cx);
        self.deliver(id, Reply::Results(results.outcomes, results.error), fault);
        self.carry_out(cx, &results.actions);
        self.send_entries(cx, false);
    }

    fn fail(&mut self, id: ConnectionId, error: SqlError) {
        if let Some(backend) = self.backends.get_mut(&id) {
            self.database.fail(backend);
            self.counts.errors += 1;
            self.reply(id, Reply::Results(Vec::new(), Some(error)));
        }
    }

    fn reply(&self, id: ConnectionId, reply: Reply) {
        self.deliver(id, reply, None);
    }

    fn deliver(&self, id: ConnectionId, reply: Reply, fault: Option<AnswerFault>) {
        let Some(client) = self.clients.get(&id) else { return };
        let state = self.backends.get(&id).map_or(TransactionState::Idle, Backend::state);
        let delivery = Delivery { reply, state, report: self.report.clone(), fault };
        call!([client.actor], deliver(delivery, self.faults.answer_delay));
    }
}

/// Time that a statement sleeps in its slot.
fn sleep(bound: &Bound) -> Duration {
    let Statement::Sleep(seconds) = bound.statement.as_ref() else { return Duration::ZERO };
    let seconds = evaluate(seconds, &bound.values).and_then(|v| ColumnType::Float8.convert(v));
    match seconds {
        Ok(Value::Float(seconds)) => Duration::try_from_secs_f64(seconds).unwrap_or_default(),
        _ => Duration::ZERO,
    }
}
