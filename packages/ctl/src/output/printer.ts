import type { Writable } from 'node:stream';
import { formatTable } from './formatTable.js';

/** Prints results, as tables and sentences or as JSON. */
export interface Printer {
  readonly json: boolean;
  /** Prints rows as a table, or as a JSON list. */
  printRows(rows: readonly Readonly<Record<string, unknown>>[]): void;
  /** Prints a sentence, or the value as one line of JSON. */
  printResult(sentence: string, value: unknown): void;
}

/** Creates a printer. */
export const createPrinter = (stream: Writable, json: boolean): Printer => {
  const writeLine = (text: string): void => {
    stream.write(`${text}\n`);
  };
  return {
    json,
    printRows: (rows) => writeLine(json ? JSON.stringify(rows, undefined, 2) : formatTable(rows)),
    printResult: (sentence, value) => writeLine(json ? JSON.stringify(value) : sentence),
  };
};
