//! State of a session's transaction.

/// Transaction state after a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum TransactionState {
    /// No transaction is open.
    #[default]
    Idle,
    /// A transaction is open.
    Open,
    /// A transaction is open and has failed.
    Failed,
}
