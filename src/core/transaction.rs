//! Transaction state of a session.

/// Transaction state of a session after a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum TransactionState {
    /// No transaction is open.
    #[default]
    Idle,
    /// A transaction is open.
    Open,
    /// A transaction is open but failed; it can only be rolled back.
    Failed,
}
