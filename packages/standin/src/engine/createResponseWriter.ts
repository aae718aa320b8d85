import type { ServerResponse } from 'node:http';
import type { ResponseWriter } from './responseWriter.js';
import type { CompletionRequest } from './completionRequest.js';
import { JsonResponseWriter } from './jsonResponseWriter.js';
import { SseResponseWriter } from './sseResponseWriter.js';

/** Creates a streaming or JSON response writer, as the request specifies. */
export const createResponseWriter = (
  response: ServerResponse,
  request: CompletionRequest,
  headers: Readonly<Record<string, string>>,
): ResponseWriter =>
  new (request.stream ? SseResponseWriter : JsonResponseWriter)(response, request, headers);
