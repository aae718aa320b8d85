import { randomUUID } from 'node:crypto';
import { z } from 'zod';
import type { RouteRequest } from '../http/index.js';
import { countTokens } from './answerText.js';
import { DEFAULT_MAX_TOKENS, DEFAULT_PRIORITY } from './constants.js';

/** A prompt block with its cache key. */
export interface KeyedBlock {
  readonly key: string;
  readonly tokens: number;
}

/** Parsed completion request. */
export interface CompletionRequest {
  readonly attemptId: string;
  readonly chat: boolean;
  readonly model: string;
  readonly prompt: string;
  readonly promptTokens: number;
  readonly blocks: readonly KeyedBlock[];
  readonly maxTokens: number;
  readonly stream: boolean;
  readonly priority: number;
  /** Number of answer tokens that the caller has already received. */
  readonly receivedTokens: number;
  /** Weight version that the caller requires, if any. */
  readonly weightVersion: string | undefined;
  /** Reference under which the execution is counted. */
  readonly ref: string | undefined;
}

const textPartSchema = z.object({ type: z.literal('text'), text: z.string() });

const messageSchema = z.object({
  role: z.string(),
  content: z.union([z.string(), z.array(textPartSchema)]),
});

const bodySchema = z.object({
  model: z.string(),
  messages: z.array(messageSchema).optional(),
  prompt: z.string().optional(),
  max_tokens: z.number().int().positive().optional(),
  max_completion_tokens: z.number().int().positive().optional(),
  stream: z.boolean().optional(),
  user: z.string().optional(),
  kv: z
    .object({ blocks: z.array(z.object({ key: z.string(), tokens: z.number().int().min(0) })) })
    .optional(),
  resume: z.object({ text: z.string(), tokens: z.number().int().min(0) }).optional(),
});

type Message = z.output<typeof messageSchema>;

const renderMessage = ({ role, content }: Message): string =>
  `${role}: ${typeof content === 'string' ? content : content.map((part) => part.text).join('')}`;

/** Renders chat messages as the prompt text that the answer is generated from. */
export const renderPrompt = (messages: readonly Message[]): string =>
  messages.map(renderMessage).join('\n');

const getHeader = (request: RouteRequest, name: string): string | undefined => {
  const value = request.headers[name];
  return typeof value === 'string' ? value : undefined;
};

/** Parses a completion request. @throws Error if the body is invalid */
export const parseCompletionRequest = (request: RouteRequest, chat: boolean): CompletionRequest => {
  const body = bodySchema.parse(request.readJson());
  const prompt = chat ? renderPrompt(body.messages ?? []) : (body.prompt ?? '');
  return {
    attemptId: getHeader(request, 'x-attempt-id') ?? randomUUID(),
    chat,
    model: body.model,
    prompt,
    promptTokens: countTokens(prompt),
    blocks: body.kv?.blocks ?? [],
    maxTokens: body.max_completion_tokens ?? body.max_tokens ?? DEFAULT_MAX_TOKENS,
    stream: body.stream ?? false,
    priority: Number(getHeader(request, 'x-priority') ?? DEFAULT_PRIORITY),
    receivedTokens: body.resume?.tokens ?? 0,
    weightVersion: getHeader(request, 'x-weight-version'),
    ref: body.user,
  };
};
