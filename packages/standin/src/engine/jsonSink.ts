import { AnswerSink } from './answerSink.js';
import type { AnswerUsage } from './answerSink.js';

/** Collects an answer and writes it as one JSON body. */
export class JsonSink extends AnswerSink {
  private text = '';

  override write(tokens: readonly string[]): void {
    this.text += tokens.join('');
  }

  override finish(usage: AnswerUsage, whole: boolean): void {
    const { chat } = this.request;
    const part = chat
      ? { message: { role: 'assistant', content: this.text } }
      : { text: this.text };
    const frame = this.buildFrame({ index: 0, ...part, finish_reason: 'length' }, usage);
    const body = JSON.stringify({ object: chat ? 'chat.completion' : 'text_completion', ...frame });
    this.response.writeHead(200, { 'content-type': 'application/json', ...this.headers });
    this.response.end(whole ? body : body.slice(0, body.length / 2));
  }
}
