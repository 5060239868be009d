//! Interpreter for state charts in SCXML files.
//!
//! The `scxml` crate parses, validates and resolves a chart, but does not execute it. A [`Chart`]
//! binds the names in the file to Rust enums and holds a table of transitions by state and event. A
//! [`Machine`] is one running instance of a chart. The supported subset of SCXML is atomic,
//! compound and final states, `onentry`, `onexit`, `event`, `cond` (a guard name, negated by a
//! leading `!`), `target` and `<script>` (an action name).

use std::fmt::Debug;

use compact_str::CompactString;
use displaydoc::Display;
use scxml::{ActionKind, ResolvedChart, ResolvedState, StateKind};

/// Enum of all names of one kind (states, events, guards or actions) that a chart uses.
pub trait Names: Copy + Debug + PartialEq + 'static {
    /// Every name with its value, in declaration order.
    const NAMES: &'static [(&'static str, Self)];

    /// Returns the index of the value in [`Names::NAMES`].
    fn index(self) -> usize;
}

/// Declares enums whose variants are names in a chart file, and implements [`Names`] for them.
#[macro_export]
macro_rules! chart_names {
    ($($(#[$doc:meta])* $vis:vis enum $name:ident { $($variant:ident = $text:literal),* $(,)? })*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        $vis enum $name { $(#[doc = concat!("`", $text, "` in the chart.")] $variant),* }

        impl $crate::chart::Names for $name {
            const NAMES: &'static [(&'static str, Self)] = &[$(($text, $name::$variant)),*];

            fn index(self) -> usize {
                self as usize
            }
        }
    )*};
}

/// Guards of a chart that has none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoGuard {}

impl Names for NoGuard {
    const NAMES: &'static [(&'static str, Self)] = &[];

    fn index(self) -> usize {
        match self {}
    }
}

/// Error in a chart file.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum ChartError {
    /// {file}: {detail}
    Invalid {
        /// Chart file.
        file: CompactString,
        /// Error of the SCXML parser or validator, or the unsupported element.
        detail: String,
    },
    /// {file}:{line}: {what} {name:?} is not known to the code
    UnknownName {
        /// Chart file.
        file: CompactString,
        /// Line of the first use, counted from 1.
        line: usize,
        /// Kind of the name: state, event, guard or action.
        what: &'static str,
        /// Name in the file.
        name: CompactString,
    },
    /// {file}: {what} {name:?} is known to the code but not used
    UnusedName {
        /// Chart file.
        file: CompactString,
        /// Kind of the name: state, event, guard or action.
        what: &'static str,
        /// Name in the code.
        name: CompactString,
    },
}

impl std::error::Error for ChartError {}

#[derive(Debug, Clone, Copy)]
struct Guard<G> {
    name: G,
    negated: bool,
}

#[derive(Debug, Clone)]
struct Row<S, G, A> {
    guard: Option<Guard<G>>,
    actions: Vec<A>,
    target: S,
}

/// One transition of a [`Graph`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Edge {
    /// State before the event.
    pub from: &'static str,
    /// Event that triggers the transition.
    pub event: &'static str,
    /// State after the event.
    pub to: &'static str,
}

/// States and transitions of a chart by their names, without the types of a particular chart.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Graph {
    /// Initial state.
    pub initial: &'static str,
    /// All states that a machine can be in, so without compound states.
    pub states: Vec<&'static str>,
    /// Final states.
    pub finals: Vec<&'static str>,
    /// Transitions from these states.
    pub edges: Vec<Edge>,
}

/// A compiled chart. `rows` holds the transitions by state and event, in the order in which their
/// guards are evaluated.
#[derive(Debug)]
pub struct Chart<S, E, G, A> {
    initial: S,
    entry: Vec<A>,
    finals: Vec<bool>,
    compounds: Vec<bool>,
    rows: Vec<Vec<Vec<Row<S, G, A>>>>,
    _event: std::marker::PhantomData<E>,
}

/// Result of one event on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step<'a, S, A> {
    /// State before the event.
    pub from: S,
    /// State after the event.
    pub to: S,
    /// Actions to carry out, in order: exit, transition, entry.
    pub actions: &'a [A],
    /// Whether the state has a transition for the event whose guard is satisfied.
    pub handled: bool,
}

impl<S: Names, E: Names, G: Names, A: Names> Chart<S, E, G, A> {
    /// Compiles the chart `text`; `file` is the file name for error messages.
    ///
    /// # Errors
    ///
    /// Names that are missing in the code, names that are missing in the file, unsupported
    /// elements, and the error of the SCXML parser or validator, for example an unreachable state.
    pub fn load(file: &str, text: &str) -> Result<Self, Vec<ChartError>> {
        let invalid = |detail: String| vec![ChartError::Invalid { file: file.into(), detail }];
        let parsed = scxml::parse_xml(text).map_err(|error| invalid(error.to_string()))?;
        scxml::validate(&parsed).map_err(|error| invalid(error.to_string()))?;
        let resolved = scxml::resolve(&parsed);
        let mut compiler = Compiler { file, text, resolved: &resolved, errors: Vec::new() };
        let chart = compiler.compile();
        match (chart, compiler.errors.is_empty()) {
            (Some(chart), true) => Ok(chart),
            (_, _) => Err(compiler.errors),
        }
    }

    /// Renders the chart `text` as a Mermaid state diagram.
    ///
    /// # Errors
    ///
    /// The error of the SCXML parser.
    pub fn draw(text: &str) -> Result<String, scxml::ScxmlError> {
        Ok(scxml::export::mermaid::to_mermaid(&scxml::parse_xml(text)?))
    }

    /// Creates a machine in the initial state. The caller carries out the actions of
    /// [`Chart::entry`].
    pub fn start(&'static self) -> Machine<S, E, G, A> {
        Machine { chart: self, state: self.initial }
    }

    /// Returns the entry actions of the initial state.
    pub fn entry(&self) -> &[A] {
        &self.entry
    }

    /// Returns all transitions as (state, index of the event, guard, target).
    pub fn transitions(&self) -> Vec<(S, usize, Option<G>, S)> {
        let mut all = Vec::new();
        for (state, by_event) in self.rows.iter().enumerate() {
            for (event, rows) in by_event.iter().enumerate() {
                for row in rows {
                    all.push((S::NAMES[state].1, event, row.guard.map(|g| g.name), row.target));
                }
            }
        }
        all
    }

    /// Returns the states and transitions by their names.
    pub fn graph(&self) -> Graph {
        let named = |keep: &dyn Fn(usize) -> bool| {
            let names = S::NAMES.iter().enumerate().filter(|(index, _)| keep(*index));
            names.map(|(_, (name, _))| *name).collect()
        };
        let edges = self.transitions().into_iter().map(|(from, event, _, to)| Edge {
            from: S::NAMES[from.index()].0,
            event: E::NAMES[event].0,
            to: S::NAMES[to.index()].0,
        });
        Graph {
            initial: S::NAMES[self.initial.index()].0,
            states: named(&|index| !self.compounds[index]),
            finals: named(&|index| self.finals[index]),
            edges: edges.filter(|edge| !self.is_compound(edge.from)).collect(),
        }
    }

    fn is_compound(&self, name: &str) -> bool {
        let mut states = S::NAMES.iter().zip(&self.compounds);
        states.any(|((text, _), compound)| *text == name && *compound)
    }

    /// Whether `state` is final.
    pub fn is_final(&self, state: S) -> bool {
        self.finals[state.index()]
    }
}

/// One running instance of a chart.
#[derive(Debug)]
pub struct Machine<S: 'static, E: 'static, G: 'static, A: 'static> {
    chart: &'static Chart<S, E, G, A>,
    state: S,
}

impl<S: Names, E: Names, G: Names, A: Names> Machine<S, E, G, A> {
    /// Returns the current state.
    pub fn state(&self) -> S {
        self.state
    }

    /// Whether the current state is final.
    pub fn is_done(&self) -> bool {
        self.chart.is_final(self.state)
    }

    /// Takes the first transition for `event` whose guard is satisfied; `holds` evaluates a guard.
    /// Without such a transition, the state does not change.
    pub fn fire(&mut self, event: E, holds: impl Fn(G) -> bool) -> Step<'static, S, A> {
        let from = self.state;
        let rows = &self.chart.rows[from.index()][event.index()];
        let row = rows.iter().find(|row| match row.guard {
            Some(guard) => holds(guard.name) != guard.negated,
            None => true,
        });
        match row {
            Some(row) => {
                self.state = row.target;
                Step { from, to: row.target, actions: &row.actions, handled: true }
            }
            None => Step { from, to: from, actions: &[], handled: false },
        }
    }
}

struct Compiler<'a> {
    file: &'a str,
    text: &'a str,
    resolved: &'a ResolvedChart,
    errors: Vec<ChartError>,
}

impl Compiler<'_> {
    fn compile<S: Names, E: Names, G: Names, A: Names>(&mut self) -> Option<Chart<S, E, G, A>> {
        self.check_kinds();
        self.check_unused::<S>("state", &self.used_states());
        self.check_unused::<E>("event", &self.resolved.events.clone());
        self.check_unused::<G>("guard", &self.used_guards());
        self.check_unused::<A>("action", &self.used_actions());
        let states = self.resolved.states.clone();
        let mut rows = vec![vec![Vec::new(); E::NAMES.len()]; S::NAMES.len()];
        let mut finals = vec![false; S::NAMES.len()];
        let mut compounds = finals.clone();
        for state in &states {
            let Some(id) = self.resolve_name::<S>("state", "id", &state.id) else { continue };
            finals[id.index()] = state.kind == StateKind::Final;
            compounds[id.index()] = state.kind == StateKind::Compound;
            for transition in &state.transitions {
                let name = transition.event.clone().unwrap_or_default();
                let event = self.resolve_name::<E>("event", "event", &name);
                let row = self.row::<S, G, A>(state, transition);
                if let (Some(event), Some(row)) = (event, row) {
                    rows[id.index()][event.index()].push(row);
                }
            }
        }
        let initial_leaf = self.initial_leaf(&self.resolved.initial.clone());
        let initial = self.resolve_name::<S>("state", "id", &initial_leaf)?;
        let entry = self.entry_actions::<A>(None, &initial_leaf);
        Some(Chart { initial, entry, finals, compounds, rows, _event: std::marker::PhantomData })
    }

    fn row<S: Names, G: Names, A: Names>(
        &mut self,
        state: &ResolvedState,
        transition: &scxml::ResolvedTransition,
    ) -> Option<Row<S, G, A>> {
        let guard = match &transition.guard {
            None => None,
            Some(text) => {
                let name = text.trim_start_matches('!');
                let negated = text.starts_with('!');
                Some(Guard { name: self.resolve_name::<G>("guard", "cond", name)?, negated })
            }
        };
        let mut actions = Vec::new();
        let internal = transition.targets.is_empty();
        let target = match transition.targets.first() {
            None => state.id.clone(),
            Some(target) => self.initial_leaf(target),
        };
        if !internal {
            actions.extend(self.exit_actions::<A>(&state.id, &target));
        }
        for action in &transition.actions {
            actions.extend(self.action::<A>(action));
        }
        if !internal {
            actions.extend(self.entry_actions::<A>(Some(&state.id), &target));
        }
        Some(Row { guard, actions, target: self.resolve_name::<S>("state", "target", &target)? })
    }

    fn action<A: Names>(&mut self, action: &scxml::Action) -> Option<A> {
        match &action.kind {
            ActionKind::Script { content } => {
                self.resolve_name::<A>("action", "script", content.trim())
            }
            other => {
                let detail = format!("only <script> actions are supported, found {other:?}");
                self.errors.push(ChartError::Invalid { file: self.file.into(), detail });
                None
            }
        }
    }

    fn exit_actions<A: Names>(&mut self, from: &str, to: &str) -> Vec<A> {
        let shared = self.ancestors(to);
        let mut actions = Vec::new();
        for id in self.ancestors(from) {
            if shared.contains(&id) && id != from {
                break;
            }
            let exits = self.state(&id).map(|state| state.on_exit.clone()).unwrap_or_default();
            actions.extend(exits.iter().filter_map(|action| self.action::<A>(action)));
        }
        actions
    }

    fn entry_actions<A: Names>(&mut self, from: Option<&str>, to: &str) -> Vec<A> {
        let shared = from.map(|from| self.ancestors(from)).unwrap_or_default();
        let mut path = self.ancestors(to);
        path.retain(|id| !shared.contains(id) || id == to);
        path.reverse();
        let mut actions = Vec::new();
        for id in path {
            let entries = self.state(&id).map(|state| state.on_entry.clone()).unwrap_or_default();
            actions.extend(entries.iter().filter_map(|action| self.action::<A>(action)));
        }
        actions
    }

    fn ancestors(&self, id: &str) -> Vec<CompactString> {
        let mut path = vec![CompactString::from(id)];
        while let Some(parent) = path.last().and_then(|id| self.state(id)?.parent.clone()) {
            path.push(parent);
        }
        path
    }

    fn initial_leaf(&self, id: &str) -> CompactString {
        let mut id = CompactString::from(id);
        while let Some(child) = self.state(&id).and_then(|state| state.initial_child.clone()) {
            id = child;
        }
        id
    }

    fn state(&self, id: &str) -> Option<&ResolvedState> {
        self.resolved.states.iter().find(|state| state.id == id)
    }

    fn resolve_name<N: Names>(
        &mut self,
        what: &'static str,
        attribute: &str,
        name: &str,
    ) -> Option<N> {
        let found = N::NAMES.iter().find(|(text, _)| *text == name);
        if found.is_none() {
            let line = self.line_of(attribute, name);
            let error =
                ChartError::UnknownName { file: self.file.into(), line, what, name: name.into() };
            if !self.errors.contains(&error) {
                self.errors.push(error);
            }
        }
        found.map(|(_, value)| *value)
    }

    fn line_of(&self, attribute: &str, name: &str) -> usize {
        let quoted = format!("{attribute}=\"{name}\"");
        let negated = format!("{attribute}=\"!{name}\"");
        let script = format!("<script>{name}</script>");
        let wanted = [quoted, negated, script];
        let found = self.text.lines().position(|line| wanted.iter().any(|w| line.contains(w)));
        found.map_or(1, |index| index + 1)
    }

    fn check_kinds(&mut self) {
        for state in &self.resolved.states {
            let supported =
                matches!(state.kind, StateKind::Atomic | StateKind::Compound | StateKind::Final);
            if !supported {
                let detail = format!("state {:?} is {:?}, not supported", state.id, state.kind);
                self.errors.push(ChartError::Invalid { file: self.file.into(), detail });
            }
        }
    }

    fn check_unused<N: Names>(&mut self, what: &'static str, used: &[CompactString]) {
        for (name, _) in N::NAMES {
            if !used.iter().any(|text| text == name) {
                let name = CompactString::from(*name);
                self.errors.push(ChartError::UnusedName { file: self.file.into(), what, name });
            }
        }
    }

    fn used_states(&self) -> Vec<CompactString> {
        self.resolved.states.iter().map(|state| state.id.clone()).collect()
    }

    fn used_guards(&self) -> Vec<CompactString> {
        let transitions = self.resolved.states.iter().flat_map(|state| &state.transitions);
        let guards = transitions.filter_map(|transition| transition.guard.as_ref());
        guards.map(|text| text.trim_start_matches('!').into()).collect()
    }

    fn used_actions(&self) -> Vec<CompactString> {
        let states = &self.resolved.states;
        let on_states = states.iter().flat_map(|state| state.on_entry.iter().chain(&state.on_exit));
        let on_transitions =
            states.iter().flat_map(|state| state.transitions.iter().flat_map(|t| &t.actions));
        let names = on_states.chain(on_transitions).filter_map(|action| match &action.kind {
            ActionKind::Script { content } => Some(content.trim().into()),
            _ => None,
        });
        names.collect()
    }
}
