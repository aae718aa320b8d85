import { ResponseWriter } from './responseWriter.js';
import type { CompletionUsage } from './responseWriter.js';

/** Buffers a completion and writes it as one JSON body. */
export class JsonResponseWriter extends ResponseWriter {
  private text = '';

  override write(tokens: readonly string[]): void {
    this.text += tokens.join('');
  }

  override finish(usage: CompletionUsage, isComplete: boolean): void {
    const { chat } = this.request;
    const answerField = chat
      ? { message: { role: 'assistant', content: this.text } }
      : { text: this.text };
    const responseFields = this.buildResponseFields(
      { index: 0, ...answerField, finish_reason: 'length' },
      usage,
    );
    const body = JSON.stringify({
      object: chat ? 'chat.completion' : 'text_completion',
      ...responseFields,
    });
    this.response.writeHead(200, { 'content-type': 'application/json', ...this.headers });
    this.response.end(isComplete ? body : body.slice(0, body.length / 2));
  }
}
