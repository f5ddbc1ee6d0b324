//! Runs a call of a plain service.

use std::pin::Pin;

use sagespool_messages::{CallTarget, DispatchEvent, FinishReason, HeaderPair};
use sagespool_types::TokenCount;

use crate::CallFault;
use crate::attempt::{AdmittedAttempt, AttemptEnd, unless_stopped};
use crate::dispatcher::Dispatcher;
use crate::running::StopReason;
use crate::upstream::{RunCall, ServiceAnswer, ServiceCall};

/// A call's particulars.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServiceTarget<'a> {
    method: &'a str,
    path: &'a str,
    headers: &'a [HeaderPair],
    price: u32,
}

impl<'a> ServiceTarget<'a> {
    pub(crate) fn of(target: &'a CallTarget) -> Option<Self> {
        let CallTarget::Service { method, path, headers, price } = target else { return None };
        Some(Self { method, path, headers, price: *price })
    }

    pub(crate) fn price(&self) -> TokenCount {
        TokenCount(self.price.into())
    }
}

impl Dispatcher {
    /// Calls the service and passes its answer on as it comes. The price is
    /// charged whole once the call may have run.
    pub(crate) async fn run_service(
        &self,
        attempt: &AdmittedAttempt,
        target: ServiceTarget<'_>,
        mut stopped: Pin<&mut impl Future<Output = StopReason>>,
    ) -> AttemptEnd {
        let call = self.upstream.name_call(attempt.request, attempt.attempt);
        let opened = self.open_service(&call, attempt, target, stopped.as_mut()).await;
        let end = match opened {
            Ok(answer) => self.pass_body(attempt, answer, stopped).await,
            Err(end) => end,
        };
        if end.may_have_run() {
            self.note_used(attempt, target.price());
        }
        end
    }

    async fn open_service(
        &self,
        call: &RunCall,
        attempt: &AdmittedAttempt,
        target: ServiceTarget<'_>,
        stopped: Pin<&mut impl Future<Output = StopReason>>,
    ) -> Result<ServiceAnswer, AttemptEnd> {
        let wanted = ServiceCall {
            method: target.method,
            path: target.path,
            headers: target.headers,
            body: attempt.body.clone(),
        };
        match unless_stopped(stopped, self.upstream.serve(call, wanted)).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(fault)) => Err(self.end_of_fault(&fault).await),
            Err(reason) => Err(AttemptEnd::Stopped { ran: call.may_have_run(), reason }),
        }
    }

    async fn pass_body(
        &self,
        attempt: &AdmittedAttempt,
        mut answer: ServiceAnswer,
        mut stopped: Pin<&mut impl Future<Output = StopReason>>,
    ) -> AttemptEnd {
        let headers = std::mem::take(&mut answer.headers);
        attempt.log.push(DispatchEvent::Head { status: answer.status, headers });
        let mut at = 0;
        loop {
            let next = async {
                attempt.log.room().await;
                let bytes = answer.next().await?;
                Ok::<_, CallFault>(bytes.map(<[u8]>::to_vec))
            };
            let data = match unless_stopped(stopped.as_mut(), next).await {
                Ok(Ok(Some(data))) => data,
                Ok(Ok(None)) => return AttemptEnd::Whole(FinishReason::Stop),
                Ok(Err(fault)) => return self.end_of_fault(&fault).await,
                Err(reason) => return AttemptEnd::Stopped { ran: true, reason },
            };
            let count = data.len() as u32;
            attempt.log.push(DispatchEvent::Piece { at, tokens: 0, data });
            at = at.saturating_add(count);
        }
    }
}
