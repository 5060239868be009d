//! Values, column types and their encodings in the PostgreSQL protocol.

use std::cmp::Ordering;

use serde::{Deserialize, Serialize};

use super::error::{SqlError, NUMERIC_OUT_OF_RANGE};

/// One value of a row or a parameter.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Value {
    /// NULL.
    Null,
    /// int4 or int8.
    Int(i64),
    /// float8.
    Float(f64),
    /// text.
    Text(String),
    /// boolean.
    Bool(bool),
}

/// Type of a column, a parameter or an expression.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ColumnType {
    /// 32-bit integer.
    Int4,
    /// 64-bit integer.
    Int8,
    /// Double precision.
    Float8,
    /// Text without a length limit.
    Text,
    /// Boolean.
    Bool,
}

/// How a value is encoded in a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// Format code 0.
    Text,
    /// Format code 1.
    Binary,
}

impl Format {
    /// The format for place `index` of a list of format codes, by the rules of Bind: no code means
    /// text, one code applies to all.
    pub fn at(codes: &[i16], index: usize) -> Self {
        let code = match codes {
            [] => 0,
            [all] => *all,
            each => each.get(index).copied().unwrap_or(0),
        };
        if code == 1 {
            Format::Binary
        } else {
            Format::Text
        }
    }
}

impl ColumnType {
    /// Object id of the type in PostgreSQL's catalogue.
    pub fn oid(self) -> u32 {
        match self {
            ColumnType::Bool => 16,
            ColumnType::Int8 => 20,
            ColumnType::Int4 => 23,
            ColumnType::Text => 25,
            ColumnType::Float8 => 701,
        }
    }

    /// The type with object id `oid`; varchar, name and unknown count as text, int2 as int4.
    pub fn from_oid(oid: u32) -> Option<Self> {
        match oid {
            16 => Some(ColumnType::Bool),
            20 => Some(ColumnType::Int8),
            21 | 23 => Some(ColumnType::Int4),
            19 | 25 | 705 | 1043 => Some(ColumnType::Text),
            701 => Some(ColumnType::Float8),
            _ => None,
        }
    }

    /// Size in bytes as RowDescription states it, -1 if it varies.
    pub fn size(self) -> i16 {
        match self {
            ColumnType::Bool => 1,
            ColumnType::Int4 => 4,
            ColumnType::Int8 | ColumnType::Float8 => 8,
            ColumnType::Text => -1,
        }
    }

    /// Decodes a parameter of this type.
    pub fn decode(self, format: Format, bytes: &[u8]) -> Result<Value, SqlError> {
        match format {
            Format::Text => {
                let text = std::str::from_utf8(bytes)
                    .map_err(|_| SqlError::new("22021", "parameter is not valid UTF-8"))?;
                self.parse(text)
            }
            Format::Binary => self.decode_binary(bytes),
        }
    }

    /// Parses the text form of a value of this type.
    pub fn parse(self, text: &str) -> Result<Value, SqlError> {
        let invalid = || {
            SqlError::new("22P02", format!("invalid input syntax for type {self:?}: \"{text}\""))
        };
        let trimmed = text.trim();
        match self {
            ColumnType::Text => Ok(Value::Text(text.to_owned())),
            ColumnType::Float8 => trimmed.parse().map(Value::Float).map_err(|_| invalid()),
            ColumnType::Int4 | ColumnType::Int8 => {
                let number = trimmed.parse().map_err(|_| invalid())?;
                self.convert(Value::Int(number))
            }
            ColumnType::Bool => match trimmed.to_ascii_lowercase().as_str() {
                "t" | "true" | "on" | "yes" | "1" => Ok(Value::Bool(true)),
                "f" | "false" | "off" | "no" | "0" => Ok(Value::Bool(false)),
                _ => Err(invalid()),
            },
        }
    }

    fn decode_binary(self, bytes: &[u8]) -> Result<Value, SqlError> {
        let size = || SqlError::new("22P03", "binary parameter has the wrong size");
        match self {
            ColumnType::Bool => match bytes {
                [byte] => Ok(Value::Bool(*byte != 0)),
                _ => Err(size()),
            },
            ColumnType::Int4 => {
                if let Ok(short) = bytes.try_into() {
                    return Ok(Value::Int(i64::from(i16::from_be_bytes(short))));
                }
                let bytes = bytes.try_into().map_err(|_| size())?;
                Ok(Value::Int(i64::from(i32::from_be_bytes(bytes))))
            }
            ColumnType::Int8 => {
                Ok(Value::Int(i64::from_be_bytes(bytes.try_into().map_err(|_| size())?)))
            }
            ColumnType::Float8 => {
                Ok(Value::Float(f64::from_be_bytes(bytes.try_into().map_err(|_| size())?)))
            }
            ColumnType::Text => self.decode(Format::Text, bytes),
        }
    }

    /// Encodes `value` of this type; `None` is NULL.
    pub fn encode(self, value: &Value, format: Format) -> Result<Option<Vec<u8>>, SqlError> {
        let value = self.convert(value.clone())?;
        let binary = format == Format::Binary;
        Ok(match value {
            Value::Null => None,
            Value::Text(text) => Some(text.into_bytes()),
            Value::Bool(value) if binary => Some(vec![u8::from(value)]),
            Value::Bool(value) => Some(if value { b"t".to_vec() } else { b"f".to_vec() }),
            Value::Float(value) if binary => Some(value.to_be_bytes().to_vec()),
            Value::Float(value) => Some(value.to_string().into_bytes()),
            Value::Int(value) if binary && self == ColumnType::Int4 => {
                let value = i32::try_from(value).map_err(|_| NUMERIC_OUT_OF_RANGE.error())?;
                Some(value.to_be_bytes().to_vec())
            }
            Value::Int(value) if binary => Some(value.to_be_bytes().to_vec()),
            Value::Int(value) => Some(value.to_string().into_bytes()),
        })
    }

    /// Converts `value` to this type where PostgreSQL assigns it without a cast.
    pub fn convert(self, value: Value) -> Result<Value, SqlError> {
        match (self, value) {
            (_, Value::Null) => Ok(Value::Null),
            (ColumnType::Int4, Value::Int(number)) => match i32::try_from(number) {
                Ok(_) => Ok(Value::Int(number)),
                Err(_) => Err(NUMERIC_OUT_OF_RANGE.error()),
            },
            (ColumnType::Int8, value @ Value::Int(_))
            | (ColumnType::Float8, value @ Value::Float(_))
            | (ColumnType::Text, value @ Value::Text(_))
            | (ColumnType::Bool, value @ Value::Bool(_)) => Ok(value),
            (ColumnType::Float8, Value::Int(number)) => Ok(Value::Float(number as f64)),
            (ColumnType::Int4 | ColumnType::Int8, Value::Float(number)) => {
                self.convert(Value::Int(number.round() as i64))
            }
            (ColumnType::Text, Value::Int(number)) => Ok(Value::Text(number.to_string())),
            (ColumnType::Text, Value::Float(number)) => Ok(Value::Text(number.to_string())),
            (ColumnType::Text, Value::Bool(value)) => Ok(Value::Text(value.to_string())),
            (_, Value::Text(text)) => self.parse(&text),
            (ty, value) => Err(SqlError::new("42804", format!("{value:?} is not of type {ty:?}"))),
        }
    }
}

/// Compares two values; `None` if one is NULL. A text next to a number or a boolean is parsed, as
/// PostgreSQL does with literals of unknown type.
pub fn compare(left: &Value, right: &Value) -> Result<Option<Ordering>, SqlError> {
    let ordering = match (left, right) {
        (Value::Null, _) | (_, Value::Null) => None,
        (Value::Int(a), Value::Int(b)) => Some(a.cmp(b)),
        (Value::Float(a), Value::Float(b)) => Some(a.total_cmp(b)),
        (Value::Int(a), Value::Float(b)) => Some((*a as f64).total_cmp(b)),
        (Value::Float(a), Value::Int(b)) => Some(a.total_cmp(&(*b as f64))),
        (Value::Text(a), Value::Text(b)) => Some(a.cmp(b)),
        (Value::Bool(a), Value::Bool(b)) => Some(a.cmp(b)),
        (Value::Text(text), other) => return compare(&like(other).parse(text)?, other),
        (other, Value::Text(text)) => return compare(other, &like(other).parse(text)?),
        (a, b) => return Err(SqlError::new("42883", format!("cannot compare {a:?} with {b:?}"))),
    };
    Ok(ordering)
}

fn like(value: &Value) -> ColumnType {
    match value {
        Value::Int(_) => ColumnType::Int8,
        Value::Float(_) => ColumnType::Float8,
        Value::Bool(_) => ColumnType::Bool,
        Value::Null | Value::Text(_) => ColumnType::Text,
    }
}
