import type { ServerResponse } from 'node:http';
import type { AnswerSink } from './answerSink.js';
import type { CompletionRequest } from './completionRequest.js';
import { JsonSink } from './jsonSink.js';
import { SseSink } from './sseSink.js';

/** Creates the sink that a request asks for. */
export const createAnswerSink = (
  response: ServerResponse,
  request: CompletionRequest,
  headers: Readonly<Record<string, string>>,
): AnswerSink => new (request.stream ? SseSink : JsonSink)(response, request, headers);
