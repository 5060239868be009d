//! Messages of the PostgreSQL protocol that the endpoint sends.

use bytes::{BufMut, BytesMut};
use pgwire::messages::data::{
    DataRow, FieldDescription, NoData, ParameterDescription, RowDescription,
};
use pgwire::messages::extendedquery::PortalSuspended;
use pgwire::messages::response::{
    CommandComplete, EmptyQueryResponse, ErrorResponse, ReadyForQuery, TransactionStatus,
};
use pgwire::messages::startup::ParameterStatus;
use pgwire::messages::PgWireBackendMessage;

use super::database::TransactionState;
use super::error::SqlError;
use super::sql::OutputColumn;
use super::store::Row;
use super::value::{ColumnType, Format};

/// Appends a message.
pub fn put(out: &mut BytesMut, message: PgWireBackendMessage) {
    message.encode(out).expect("messages of the emulator are below the protocol's size limits");
}

/// Appends a ParameterStatus.
pub fn put_parameter(out: &mut BytesMut, name: &str, value: &str) {
    let status = ParameterStatus::new(name.to_owned(), value.to_owned());
    put(out, PgWireBackendMessage::ParameterStatus(status));
}

/// Appends an ErrorResponse.
pub fn put_error(out: &mut BytesMut, error: &SqlError) {
    let severity = if error.fatal { "FATAL" } else { "ERROR" };
    let fields = vec![
        (b'S', severity.to_owned()),
        (b'V', severity.to_owned()),
        (b'C', error.state.to_owned()),
        (b'M', error.message.clone()),
    ];
    put(out, PgWireBackendMessage::ErrorResponse(ErrorResponse::new(fields)));
}

/// Appends the answer to an empty query.
pub fn put_empty(out: &mut BytesMut) {
    put(out, PgWireBackendMessage::EmptyQueryResponse(EmptyQueryResponse::new()));
}

/// Appends a CommandComplete.
pub fn put_complete(out: &mut BytesMut, tag: &str) {
    put(out, PgWireBackendMessage::CommandComplete(CommandComplete::new(tag.to_owned())));
}

/// Appends a PortalSuspended.
pub fn put_suspended(out: &mut BytesMut) {
    put(out, PgWireBackendMessage::PortalSuspended(PortalSuspended::new()));
}

/// Appends a ReadyForQuery.
pub fn put_ready(out: &mut BytesMut, state: TransactionState) {
    let status = match state {
        TransactionState::Idle => TransactionStatus::Idle,
        TransactionState::Open => TransactionStatus::Transaction,
        TransactionState::Failed => TransactionStatus::Error,
    };
    put(out, PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(status)));
}

/// Appends a ParameterDescription.
pub fn put_parameters(out: &mut BytesMut, types: &[ColumnType]) {
    let oids = types.iter().map(|ty| ty.oid()).collect();
    put(out, PgWireBackendMessage::ParameterDescription(ParameterDescription::new(oids)));
}

/// Appends a RowDescription, or NoData for a statement without rows.
pub fn put_columns(out: &mut BytesMut, columns: Option<&[OutputColumn]>, formats: &[i16]) {
    let Some(columns) = columns else {
        return put(out, PgWireBackendMessage::NoData(NoData::new()));
    };
    let fields = columns.iter().enumerate().map(|(place, column)| {
        let format = i16::from(Format::at(formats, place) == Format::Binary);
        let (oid, size) = (column.ty.oid(), column.ty.size());
        FieldDescription::new(column.name.clone(), 0, 0, oid, size, -1, format)
    });
    put(out, PgWireBackendMessage::RowDescription(RowDescription::new(fields.collect())));
}

/// Appends a DataRow.
///
/// # Errors
///
/// A value that does not fit the type of its column.
pub fn put_row(
    out: &mut BytesMut,
    columns: &[OutputColumn],
    row: &Row,
    formats: &[i16],
) -> Result<(), SqlError> {
    let mut data = BytesMut::new();
    for (place, (column, value)) in columns.iter().zip(row).enumerate() {
        match column.ty.encode(value, Format::at(formats, place))? {
            None => data.put_i32(-1),
            Some(bytes) => {
                data.put_i32(i32::try_from(bytes.len()).unwrap_or(i32::MAX));
                data.put_slice(&bytes);
            }
        }
    }
    let count = i16::try_from(columns.len()).unwrap_or(i16::MAX);
    put(out, PgWireBackendMessage::DataRow(DataRow::new(data, count)));
    Ok(())
}
