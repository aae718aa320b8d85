import { request } from 'undici';
import type { AttemptResult } from './attemptResult.js';
import { parseErrorBody, toFailure } from './errorBody.js';

/** One completion call. */
export interface CompletionCall {
  readonly entryUrl: string;
  readonly apiKey: string;
  readonly workload: string;
  readonly body: Readonly<Record<string, unknown>>;
  readonly timeoutMs: number;
}

interface Usage {
  readonly prompt_tokens: number;
  readonly prompt_tokens_details?: { readonly cached_tokens: number };
}

interface Chunk {
  readonly choices?: readonly {
    readonly delta?: { readonly content?: string };
    readonly text?: string;
  }[];
  readonly usage?: Usage;
  readonly error?: unknown;
}

class StreamReader {
  text = '';

  tokens = 0;

  usage: Usage | undefined;

  error: AttemptResult | undefined;

  isDone = false;

  firstTokenMs = 0;

  private rest = '';

  constructor(private readonly startMs: number) {}

  consume(part: string): void {
    const events = (this.rest + part).split('\n\n');
    this.rest = events.pop() ?? '';
    events.forEach((event) => this.consumeEvent(event.replace(/^data: ?/, '')));
  }

  private consumeEvent(data: string): void {
    if (data === '[DONE]') {
      this.isDone = true;
      return;
    }
    if (!data.startsWith('{')) return;
    const chunk = JSON.parse(data) as Chunk;
    if (chunk.error) this.error = parseErrorBody(200, data);
    const [choice] = chunk.choices ?? [];
    const text = choice?.delta?.content ?? choice?.text ?? '';
    if (text !== '' && this.tokens === 0) this.firstTokenMs = performance.now() - this.startMs;
    if (text !== '') this.tokens += 1;
    this.text += text;
    this.usage = chunk.usage ?? this.usage;
  }
}

const finishStream = (reader: StreamReader): AttemptResult => {
  if (reader.error) return reader.error;
  if (!reader.isDone) return { type: 'cut', receivedTokens: reader.tokens };
  return {
    type: 'whole',
    status: 200,
    text: reader.text,
    firstTokenMs: reader.firstTokenMs,
    promptTokens: reader.usage?.prompt_tokens ?? 0,
    cachedTokens: reader.usage?.prompt_tokens_details?.cached_tokens ?? 0,
  };
};

/** Streams one chat completion through an entry VM and tells how it ended. */
export const streamCompletion = async (call: CompletionCall): Promise<AttemptResult> => {
  const startMs = performance.now();
  const reader = new StreamReader(startMs);
  try {
    const answer = await request(`${call.entryUrl}/v1/chat/completions`, {
      method: 'POST',
      headers: {
        'content-type': 'application/json',
        authorization: `Bearer ${call.apiKey}`,
        'x-workload': call.workload,
      },
      body: JSON.stringify({ ...call.body, stream: true }),
      signal: AbortSignal.timeout(call.timeoutMs),
    });
    if (answer.statusCode !== 200) {
      return parseErrorBody(answer.statusCode, await answer.body.text());
    }
    answer.body.setEncoding('utf8');
    for await (const part of answer.body) reader.consume(part as string);
    return finishStream(reader);
  } catch (cause) {
    return toFailure(cause, reader.tokens);
  }
};
