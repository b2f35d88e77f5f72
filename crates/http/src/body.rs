//! Reading bodies within limits and proving that they are whole.

use std::time::Duration;

use futures_lite::io::{AsyncReadExt, Take};
use http_types::{Body, Request};
use tidepier_errors::{Fault, Kind};

use crate::memory::Held;
use crate::server::within;

/// Reads the whole body of a caller's request, within the memory of `held`.
///
/// # Errors
///
/// Those of [`read`], and [`Kind::Crowded`].
pub async fn read_held(
    request: &mut Request,
    most: u64,
    pause: Duration,
    held: &mut Held<'_>,
) -> Result<Vec<u8>, Fault> {
    read_within(request, most, pause, Some(held)).await
}

/// Reads the whole body of a caller's request.
///
/// # Errors
///
/// [`Kind::TooLarge`] past `most` bytes, [`Kind::TooSlow`] when a part does not
/// arrive within `pause`, [`Kind::BadRequest`] when the body is cut short.
pub async fn read(request: &mut Request, most: u64, pause: Duration) -> Result<Vec<u8>, Fault> {
    read_within(request, most, pause, None).await
}

async fn read_within(
    request: &mut Request,
    most: u64,
    pause: Duration,
    held: Option<&mut Held<'_>>,
) -> Result<Vec<u8>, Fault> {
    let declared = request.len();
    let body = request.take_body();
    let bytes = read_parts(body.take(most + 1), pause, held).await?;
    if bytes.len() as u64 > most {
        let detail = format!("a body over {most} bytes");
        return Err(Fault::new(Kind::TooLarge, detail));
    }
    if declared.is_some_and(|declared| declared != bytes.len()) {
        return Err(Fault::new(Kind::BadRequest, "the body was cut short"));
    }
    Ok(bytes)
}

async fn read_parts(
    mut body: Take<Body>,
    pause: Duration,
    mut held: Option<&mut Held<'_>>,
) -> Result<Vec<u8>, Fault> {
    let mut bytes = Vec::new();
    let mut part = vec![0; 16 << 10];
    loop {
        match within(pause, body.read(&mut part)).await {
            Some(Ok(0)) => return Ok(bytes),
            Some(Ok(read)) => {
                if bytes.capacity() - bytes.len() < read {
                    bytes.reserve_exact(read.max(bytes.len() / 2));
                }
                bytes.extend_from_slice(&part[..read]);
                if let Some(held) = &mut held {
                    held.extend_to(bytes.capacity())?;
                }
            }
            Some(Err(error)) => {
                let detail = format!("the body broke off: {error}");
                return Err(Fault::new(Kind::BadRequest, detail));
            }
            None => return Err(Fault::new(Kind::TooSlow, "the body did not arrive in time")),
        }
    }
}
