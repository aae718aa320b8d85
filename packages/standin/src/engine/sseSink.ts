import { AnswerSink } from './answerSink.js';
import type { AnswerUsage } from './answerSink.js';

const encodeEvent = (value: object): string => `data: ${JSON.stringify(value)}\n\n`;

/** Streams an answer as server-sent events, one event for each token. */
export class SseSink extends AnswerSink {
  private headWritten = false;

  override write(tokens: readonly string[]): void {
    this.writeHead();
    const events = tokens.map((token) => encodeEvent(this.buildChunk(token, null)));
    this.response.write(events.join(''));
  }

  override finish(usage: AnswerUsage, whole: boolean): void {
    this.writeHead();
    if (whole) {
      this.response.write(encodeEvent(this.buildChunk('', 'length', usage)));
      this.response.write('data: [DONE]\n\n');
    }
    this.response.end();
  }

  private writeHead(): void {
    if (this.headWritten) return;
    this.headWritten = true;
    this.response.writeHead(200, { 'content-type': 'text/event-stream', ...this.headers });
  }

  private buildChunk(text: string, finish: string | null, usage?: AnswerUsage): object {
    const { chat } = this.request;
    const part = chat ? { delta: { role: 'assistant', content: text } } : { text };
    const frame = this.buildFrame({ index: 0, ...part, finish_reason: finish }, usage);
    return { object: chat ? 'chat.completion.chunk' : 'text_completion', ...frame };
  }
}
