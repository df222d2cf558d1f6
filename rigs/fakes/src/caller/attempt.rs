//! One attempt: asked for at a processor, sent where it is told, and reported.

use super::messages::{attribute, heads, response_heads, set};
use super::upstream::{body, send, Sent};
use super::{failed, Caller, Play, Point, Request};
use crate::client::Answer;
use crate::unix_ms;
use envoy_types::pb::envoy::service::ext_proc::v3::{
    external_processor_client::ExternalProcessorClient, processing_request::Request as Kind,
    processing_response::Response as Said, HeaderMutation, ProcessingRequest, ProcessingResponse,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Streaming;

/// How one attempt ended.
pub(super) enum End {
    /// The client's final answer.
    Final(Answer),
    /// The client left.
    Left,
    /// Another try is due; by the processor's word, or by the caller's own policy.
    Again {
        token: String,
        asked: bool,
        last: Option<Answer>,
    },
    /// The processor gave no answer.
    Unasked,
}

impl Caller {
    /// Makes one attempt at an instance, as far as the script lets it.
    #[expect(
        clippy::too_many_lines,
        reason = "one attempt of the stand-in from send to end; to be split"
    )]
    pub(super) async fn attempt(
        &self,
        request: &Request,
        token: Option<&str>,
        instance: usize,
        play: Play,
    ) -> End {
        let own = |token: Option<&str>| End::Again {
            token: token.unwrap_or_default().to_string(),
            asked: false,
            last: None,
        };
        let over = |point: Point, token: Option<&str>| match (
            play.leave == Some(point),
            play.reset == Some(point),
        ) {
            (true, _) => Some(End::Left),
            (_, true) => Some(own(token)),
            _ => None,
        };
        let (sender, messages) = mpsc::channel(4);
        let mut fields = request.fields.clone();
        if let Some(token) = token {
            fields.insert("x-foldmux-attempt".into(), token.into());
        }
        let first = heads(request, &fields);
        let _ = sender.send(first).await;
        let channel = self.channels.lock().unwrap()[instance].clone();
        let mut client = ExternalProcessorClient::new(channel);
        if let Some(end) = over(Point::BeforeAnswer, token) {
            // Sent, and cancelled while the processor decides.
            let asked = client.process(ReceiverStream::new(messages));
            let _ = tokio::time::timeout(Duration::from_micros(200), asked).await;
            return end;
        }
        let asked = tokio::time::timeout(
            self.setup.message,
            client.process(ReceiverStream::new(messages)),
        )
        .await;
        let Ok(Ok(answers)) = asked else {
            return End::Unasked;
        };
        let mut answers = answers.into_inner();
        let Some(response) = self.answer(&mut answers).await else {
            return End::Unasked;
        };
        let mut path = request.path.clone();
        let mutation = match response.response {
            Some(Said::ImmediateResponse(now)) => {
                self.counts.immediate.fetch_add(1, Ordering::SeqCst);
                let status = now.status.map_or(500, |s| s.code as u16);
                let fields = set(now.headers.as_ref()).collect();
                return End::Final(Answer {
                    status,
                    fields,
                    body: now.body,
                    ..Answer::default()
                });
            }
            Some(Said::RequestHeaders(headers)) => headers.response.and_then(|r| r.header_mutation),
            _ => return End::Unasked,
        };
        self.apply(mutation.as_ref(), &mut fields, &mut path);
        let shown = fields.get("x-foldmux-attempt").cloned().unwrap_or_default();
        let told = Some(shown.as_str());
        if let Some(end) = over(Point::BetweenAnswerAndSend, told) {
            return end;
        }
        if !play.slow.is_zero() {
            tokio::time::sleep(play.slow).await;
        }
        let to: Option<SocketAddr> = fields.get("x-foldmux-cache").and_then(|at| at.parse().ok());
        let Some(to) = to.or(self.setup.open) else {
            return End::Final(failed(404));
        };
        self.counts.placed.fetch_add(1, Ordering::SeqCst);
        let good_until = fields
            .get("x-foldmux-good-until-ms")
            .and_then(|t| t.parse::<u64>().ok());
        let stale = good_until.is_some_and(|until| unix_ms() >= until);
        let sent = if stale {
            self.counts.stale.fetch_add(1, Ordering::SeqCst);
            // It is not sent any more: as a cache says that it left it untouched.
            if self.setup.heeds {
                Some(Sent::Local(504, ""))
            } else {
                None
            }
        } else {
            None
        };
        let cut = [Point::DuringSend, Point::AfterSend]
            .into_iter()
            .find(|at| over(*at, told).is_some());
        let sent = match sent {
            Some(sent) => sent,
            None => {
                let (request, fields, path) = (request.clone(), fields.clone(), path.clone());
                let time = self.setup.attempt;
                let send = tokio::task::spawn_blocking(move || {
                    send(&request, &path, &fields, to, time, cut)
                });
                match send.await {
                    Ok(sent) => sent,
                    Err(_) => return own(told),
                }
            }
        };
        if let Some(end) = cut.and_then(|at| over(at, told)) {
            return end;
        }
        let mut message = ProcessingRequest::default();
        let open = match sent {
            Sent::Head(open) => {
                message.request = Some(Kind::ResponseHeaders(response_heads(&open.answer)));
                attribute(&mut message, "via_upstream");
                Ok(open)
            }
            Sent::Local(status, details) => {
                let mut answer = failed(status);
                if details.is_empty() {
                    answer.fields.insert("srv-untouched".into(), "1".into());
                } else {
                    attribute(&mut message, details);
                }
                message.request = Some(Kind::ResponseHeaders(response_heads(&answer)));
                Err(answer)
            }
        };
        if sender.send(message).await.is_err() {
            return own(told);
        }
        if let Some(end) = over(Point::AfterResponseHeaders, told) {
            return end;
        }
        let again = match self.answer(&mut answers).await.and_then(|r| r.response) {
            Some(Said::ImmediateResponse(now)) => {
                self.counts.immediate.fetch_add(1, Ordering::SeqCst);
                let status = now.status.map_or(500, |s| s.code as u16);
                let fields = set(now.headers.as_ref()).collect();
                return End::Final(Answer {
                    status,
                    fields,
                    body: now.body,
                    ..Answer::default()
                });
            }
            Some(Said::ResponseHeaders(headers)) => {
                let mutation = headers.response.and_then(|r| r.header_mutation);
                let again = set(mutation.as_ref()).find(|(name, _)| name == "x-foldmux-again");
                again.map(|(_, token)| token)
            }
            // The processor went away: what is there is the answer.
            _ => None,
        };
        match (open, again) {
            (open, Some(token)) => {
                self.counts.again.fetch_add(1, Ordering::SeqCst);
                let last = Some(open.map_or_else(|answer| answer, |open| open.answer));
                End::Again {
                    token,
                    asked: true,
                    last,
                }
            }
            (Err(answer), None) => End::Again {
                token: shown,
                asked: false,
                last: Some(answer),
            },
            (Ok(open), None) if open.answer.status == 200 => {
                let time = self.setup.attempt;
                let read = tokio::task::spawn_blocking(move || body(*open, time)).await;
                // The stream ends once the answer is through, and not before.
                drop(sender);
                match read {
                    Ok(Ok(answer)) => {
                        while let Ok(Some(_)) = answers.message().await {}
                        End::Final(answer)
                    }
                    _ => End::Final(failed(502)),
                }
            }
            (Ok(open), None) => End::Final(open.answer),
        }
    }

    /// The next answer that says something; a longer time where the processor asks for it.
    async fn answer(
        &self,
        answers: &mut Streaming<ProcessingResponse>,
    ) -> Option<ProcessingResponse> {
        let mut patience = self.setup.message;
        loop {
            let response = tokio::time::timeout(patience, answers.message())
                .await
                .ok()?
                .ok()??;
            match (&response.response, &response.override_message_timeout) {
                (None, Some(longer)) => {
                    self.counts.longer.fetch_add(1, Ordering::SeqCst);
                    patience =
                        Duration::new(longer.seconds.max(0) as u64, longer.nanos.max(0) as u32);
                }
                _ => return Some(response),
            }
        }
    }

    /// A mutation, by the rules that hold where nothing else is configured.
    fn apply(
        &self,
        mutation: Option<&HeaderMutation>,
        fields: &mut BTreeMap<String, String>,
        path: &mut String,
    ) {
        for name in mutation.iter().flat_map(|m| &m.remove_headers) {
            fields.remove(&name.to_ascii_lowercase());
        }
        for (name, value) in set(mutation) {
            match name.as_str() {
                ":path" => *path = value,
                name if name == "host" || name.starts_with("x-envoy") || name.starts_with(':') => {
                    self.counts.forbidden.fetch_add(1, Ordering::SeqCst);
                }
                _ => drop(fields.insert(name, value)),
            }
        }
    }
}
