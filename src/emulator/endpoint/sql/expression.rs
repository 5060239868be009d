//! Translation of expressions from the syntax tree of `sqlparser`.

use sqlparser::ast::{
    self, BinaryOperator, DataType, FunctionArg, FunctionArgExpr, FunctionArguments, Ident,
    ObjectName, UnaryOperator,
};

use super::{Aggregate, Expr, Operator};
use crate::emulator::endpoint::error::SqlError;
use crate::emulator::endpoint::value::{ColumnType, Value};

/// The name as PostgreSQL compares it: lower case unless quoted.
pub fn ident(ident: &Ident) -> String {
    match ident.quote_style {
        Some(_) => ident.value.clone(),
        None => ident.value.to_ascii_lowercase(),
    }
}

/// A name with an optional schema, which is ignored.
pub fn object(name: &ObjectName) -> Result<String, SqlError> {
    let last = name.0.last().and_then(|part| part.as_ident());
    last.map(ident).ok_or_else(|| SqlError::unsupported(name))
}

/// A name with all its parts, for settings.
pub fn dotted(name: &ObjectName) -> String {
    name.to_string().replace('"', "").to_ascii_lowercase()
}

/// A column type.
pub fn column_type(ty: &DataType) -> Result<ColumnType, SqlError> {
    match ty {
        DataType::Int(_) | DataType::Integer(_) | DataType::Int4(_) => Ok(ColumnType::Int4),
        DataType::BigInt(_) | DataType::Int8(_) => Ok(ColumnType::Int8),
        DataType::Text | DataType::Varchar(_) | DataType::CharacterVarying(_) => {
            Ok(ColumnType::Text)
        }
        DataType::Bool | DataType::Boolean => Ok(ColumnType::Bool),
        DataType::DoublePrecision | DataType::Float8 | DataType::Double(_) => {
            Ok(ColumnType::Float8)
        }
        other => Err(SqlError::unsupported(format!("type {other}"))),
    }
}

/// An expression.
pub fn expression(expr: &ast::Expr) -> Result<Expr, SqlError> {
    match expr {
        ast::Expr::Identifier(name) => Ok(Expr::Column(ident(name))),
        ast::Expr::CompoundIdentifier(parts) => match parts.last() {
            Some(name) => Ok(Expr::Column(ident(name))),
            None => Err(SqlError::unsupported(expr)),
        },
        ast::Expr::Nested(inner) => expression(inner),
        ast::Expr::Value(value) => literal(&value.value),
        ast::Expr::BinaryOp { left, op, right } => {
            let operator = operator(op)?;
            Ok(Expr::Binary(boxed(left)?, operator, boxed(right)?))
        }
        ast::Expr::UnaryOp { op, expr } => unary(op, expression(expr)?),
        ast::Expr::IsNull(inner) => Ok(Expr::IsNull(boxed(inner)?)),
        ast::Expr::IsNotNull(inner) => Ok(Expr::Not(Box::new(Expr::IsNull(boxed(inner)?)))),
        ast::Expr::InList { expr, list, negated } => {
            let list = list.iter().map(expression).collect::<Result<_, _>>()?;
            let found = Expr::In(boxed(expr)?, list);
            Ok(if *negated { Expr::Not(Box::new(found)) } else { found })
        }
        ast::Expr::Cast { expr, data_type, .. } => {
            Ok(Expr::Cast(boxed(expr)?, column_type(data_type)?))
        }
        ast::Expr::Function(function) => aggregate(function),
        other => Err(SqlError::unsupported(other)),
    }
}

fn boxed(expr: &ast::Expr) -> Result<Box<Expr>, SqlError> {
    expression(expr).map(Box::new)
}

fn literal(value: &ast::Value) -> Result<Expr, SqlError> {
    let invalid = |text: &str| SqlError::new("42601", format!("syntax error at \"{text}\""));
    Ok(Expr::Literal(match value {
        ast::Value::Null => Value::Null,
        ast::Value::Boolean(value) => Value::Bool(*value),
        ast::Value::SingleQuotedString(text) | ast::Value::EscapedStringLiteral(text) => {
            Value::Text(text.clone())
        }
        ast::Value::Number(text, _) => match text.parse() {
            Ok(number) => Value::Int(number),
            Err(_) => Value::Float(text.parse().map_err(|_| invalid(text))?),
        },
        ast::Value::Placeholder(text) => {
            let number: Option<usize> = text.strip_prefix('$').and_then(|n| n.parse().ok());
            let place = number.and_then(|number| number.checked_sub(1));
            return place.map(Expr::Param).ok_or_else(|| invalid(text));
        }
        other => return Err(SqlError::unsupported(other)),
    }))
}

fn operator(op: &BinaryOperator) -> Result<Operator, SqlError> {
    Ok(match op {
        BinaryOperator::Eq => Operator::Eq,
        BinaryOperator::NotEq => Operator::NotEq,
        BinaryOperator::Lt => Operator::Lt,
        BinaryOperator::LtEq => Operator::LtEq,
        BinaryOperator::Gt => Operator::Gt,
        BinaryOperator::GtEq => Operator::GtEq,
        BinaryOperator::Plus => Operator::Add,
        BinaryOperator::Minus => Operator::Sub,
        BinaryOperator::Multiply => Operator::Mul,
        BinaryOperator::Divide => Operator::Div,
        BinaryOperator::Modulo => Operator::Mod,
        BinaryOperator::And => Operator::And,
        BinaryOperator::Or => Operator::Or,
        BinaryOperator::StringConcat => Operator::Concat,
        other => return Err(SqlError::unsupported(format!("operator {other}"))),
    })
}

fn unary(op: &UnaryOperator, operand: Expr) -> Result<Expr, SqlError> {
    match (op, operand) {
        (UnaryOperator::Not, operand) => Ok(Expr::Not(Box::new(operand))),
        (UnaryOperator::Plus, operand) => Ok(operand),
        (UnaryOperator::Minus, Expr::Literal(Value::Int(number))) => {
            Ok(Expr::Literal(Value::Int(-number)))
        }
        (UnaryOperator::Minus, Expr::Literal(Value::Float(number))) => {
            Ok(Expr::Literal(Value::Float(-number)))
        }
        (UnaryOperator::Minus, operand) => {
            let zero = Box::new(Expr::Literal(Value::Int(0)));
            Ok(Expr::Binary(zero, Operator::Sub, Box::new(operand)))
        }
        (other, _) => Err(SqlError::unsupported(format!("operator {other}"))),
    }
}

/// Name and plain arguments of a function call; `None` stands for `*`.
pub fn call(function: &ast::Function) -> Result<(String, Vec<Option<Expr>>), SqlError> {
    let FunctionArguments::List(list) = &function.args else {
        return Err(SqlError::unsupported(function));
    };
    let arguments = list.args.iter().map(|argument| match argument {
        FunctionArg::Unnamed(FunctionArgExpr::Expr(expr)) => expression(expr).map(Some),
        FunctionArg::Unnamed(FunctionArgExpr::Wildcard) => Ok(None),
        _ => Err(SqlError::unsupported(function)),
    });
    Ok((object(&function.name)?, arguments.collect::<Result<_, _>>()?))
}

fn aggregate(function: &ast::Function) -> Result<Expr, SqlError> {
    let (name, arguments) = call(function)?;
    let kind = match name.as_str() {
        "count" => Aggregate::Count,
        "sum" => Aggregate::Sum,
        "min" => Aggregate::Min,
        "max" => Aggregate::Max,
        _ => return Err(SqlError::new("42883", format!("function {name} does not exist"))),
    };
    match (kind, <[_; 1]>::try_from(arguments)) {
        (Aggregate::Count, Ok([None])) => Ok(Expr::Aggregate(kind, None)),
        (_, Ok([Some(argument)])) => Ok(Expr::Aggregate(kind, Some(Box::new(argument)))),
        _ => Err(SqlError::unsupported(function)),
    }
}
