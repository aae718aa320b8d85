import { createRefusal } from '@goldcrestscale/core';
import { z } from 'zod';
import type { CompletionTarget } from '../filters/exchange.js';

const messageSchema = z.looseObject({
  role: z.string(),
  content: z
    .union([z.string(), z.array(z.looseObject({ type: z.string(), text: z.string().optional() }))])
    .nullish(),
});

const commonFields = {
  model: z.string().min(1),
  stream: z.boolean().nullish(),
  adapter: z.string().optional(),
  max_tokens: z.number().int().positive().nullish(),
  max_completion_tokens: z.number().int().positive().nullish(),
};

const chatSchema = z.looseObject({ ...commonFields, messages: z.array(messageSchema).min(1) });

const promptSchema = z.looseObject({ ...commonFields, prompt: z.string() });

/** Fields of the engine protocol that callers must not set. */
const RESERVED_FIELDS = ['kv', 'resume'] as const;

const createBodyRefusal = (reason: string): Error =>
  createRefusal(`The body is not a valid completion request: ${reason}`, {
    code: 'bad_request',
    status: 400,
  });

const parseJsonBody = (body: Buffer): unknown => {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    throw createBodyRefusal('it is not JSON.');
  }
};

const describeFirstIssue = (error: z.ZodError): string => {
  const [issue] = error.issues;
  return `${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'invalid'}.`;
};

const formatMessage = (message: z.output<typeof messageSchema>): string => {
  const { content } = message;
  const text = Array.isArray(content)
    ? content.map((part) => part.text ?? '').join('')
    : (content ?? '');
  return `${message.role}: ${text}\n`;
};

const removeReservedFields = (fields: Record<string, unknown>): Record<string, unknown> =>
  Object.fromEntries(
    Object.entries(fields).filter(
      ([name]) => !RESERVED_FIELDS.some((reserved) => reserved === name),
    ),
  );

const parseChat = (fields: unknown) => {
  const parsed = chatSchema.safeParse(fields);
  if (!parsed.success) throw createBodyRefusal(describeFirstIssue(parsed.error));
  const { data } = parsed;
  return { data, prompt: data.messages.map(formatMessage).join('') };
};

const parsePrompt = (fields: unknown) => {
  const parsed = promptSchema.safeParse(fields);
  if (!parsed.success) throw createBodyRefusal(describeFirstIssue(parsed.error));
  return { data: parsed.data, prompt: parsed.data.prompt };
};

/**
 * Parses the body of a completion request.
 *
 * @throws GoldcrestError `bad_request` with the path of the first invalid field
 */
export const parseCompletion = (path: CompletionTarget['path'], body: Buffer): CompletionTarget => {
  const fields = parseJsonBody(body);
  const { data, prompt } =
    path === '/v1/chat/completions' ? parseChat(fields) : parsePrompt(fields);
  return {
    kind: 'completion',
    path,
    model: data.model,
    ...(data.adapter === undefined ? {} : { adapter: data.adapter }),
    stream: data.stream ?? false,
    prompt,
    fields: removeReservedFields(data),
  };
};
