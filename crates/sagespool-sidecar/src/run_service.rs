//! Runs a call to a plain service.

use std::pin::Pin;

use sagespool_messages::{CallTarget, DispatchEvent, FinishReason, HeaderPair};
use sagespool_types::TokenCount;

use crate::UpstreamCallError;
use crate::attempt::{AdmittedAttempt, AttemptCompletion, unless_stopped};
use crate::dispatcher::Dispatcher;
use crate::running::StopReason;
use crate::upstream::{RunCall, ServiceAnswer, ServiceCall};

/// The target of a service call.
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
    /// Calls the service and forwards its answer as it arrives. The full price is
    /// charged once the call may have run.
    pub(crate) async fn run_service(
        &self,
        attempt: &AdmittedAttempt,
        target: ServiceTarget<'_>,
        mut stopped: Pin<&mut impl Future<Output = StopReason>>,
    ) -> AttemptCompletion {
        let call = self.upstream.new_call(attempt.request, attempt.attempt);
        let opened = self.open_service(&call, attempt, target, stopped.as_mut()).await;
        let end = match opened {
            Ok(answer) => self.forward_body(attempt, answer, stopped).await,
            Err(end) => end,
        };
        if end.may_have_run() {
            self.record_used(attempt, target.price());
        }
        end
    }

    async fn open_service(
        &self,
        call: &RunCall,
        attempt: &AdmittedAttempt,
        target: ServiceTarget<'_>,
        stopped: Pin<&mut impl Future<Output = StopReason>>,
    ) -> Result<ServiceAnswer, AttemptCompletion> {
        let service_call = ServiceCall {
            method: target.method,
            path: target.path,
            headers: target.headers,
            body: attempt.body.clone(),
        };
        match unless_stopped(stopped, self.upstream.call_service(call, service_call)).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(error)) => Err(self.outcome_of_error(&error).await),
            Err(reason) => Err(AttemptCompletion::Stopped { ran: call.may_have_run(), reason }),
        }
    }

    async fn forward_body(
        &self,
        attempt: &AdmittedAttempt,
        mut answer: ServiceAnswer,
        mut stopped: Pin<&mut impl Future<Output = StopReason>>,
    ) -> AttemptCompletion {
        let headers = std::mem::take(&mut answer.headers);
        attempt.log.push(DispatchEvent::Head { status: answer.status, headers });
        let mut at = 0;
        loop {
            let next = async {
                attempt.log.wait_for_room().await;
                let bytes = answer.next().await?;
                Ok::<_, UpstreamCallError>(bytes.map(<[u8]>::to_vec))
            };
            let data = match unless_stopped(stopped.as_mut(), next).await {
                Ok(Ok(Some(data))) => data,
                Ok(Ok(None)) => return AttemptCompletion::Whole(FinishReason::Stop),
                Ok(Err(error)) => return self.outcome_of_error(&error).await,
                Err(reason) => return AttemptCompletion::Stopped { ran: true, reason },
            };
            let count = data.len() as u32;
            attempt.log.push(DispatchEvent::Piece { at, tokens: 0, data });
            at = at.saturating_add(count);
        }
    }
}
