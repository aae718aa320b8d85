import { ResponseWriter } from './responseWriter.js';
import type { CompletionUsage } from './responseWriter.js';

const encodeEvent = (value: object): string => `data: ${JSON.stringify(value)}\n\n`;

/** Streams a completion as server-sent events, one event per token. */
export class SseResponseWriter extends ResponseWriter {
  private headersSent = false;

  override write(tokens: readonly string[]): void {
    this.ensureHeadersSent();
    const events = tokens.map((token) => encodeEvent(this.buildChunk(token, null)));
    this.response.write(events.join(''));
  }

  override finish(usage: CompletionUsage, isComplete: boolean): void {
    this.ensureHeadersSent();
    if (isComplete) {
      this.response.write(encodeEvent(this.buildChunk('', 'length', usage)));
      this.response.write('data: [DONE]\n\n');
    }
    this.response.end();
  }

  private ensureHeadersSent(): void {
    if (this.headersSent) return;
    this.headersSent = true;
    this.response.writeHead(200, { 'content-type': 'text/event-stream', ...this.headers });
  }

  private buildChunk(text: string, finishReason: string | null, usage?: CompletionUsage): object {
    const { chat } = this.request;
    const answerField = chat ? { delta: { role: 'assistant', content: text } } : { text };
    const responseFields = this.buildResponseFields(
      { index: 0, ...answerField, finish_reason: finishReason },
      usage,
    );
    return { object: chat ? 'chat.completion.chunk' : 'text_completion', ...responseFields };
  }
}
