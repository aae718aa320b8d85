import type { Writable } from 'node:stream';
import { formatTable } from './formatTable.js';

/** Prints results as text or as JSON. */
export interface Printer {
  readonly json: boolean;
  /** Prints rows as a table or as a JSON array. */
  printRows(rows: readonly Readonly<Record<string, unknown>>[]): void;
  /** Prints the message, or the value as one line of JSON. */
  printResult(message: string, value: unknown): void;
}

export const createPrinter = (stream: Writable, json: boolean): Printer => {
  const writeLine = (text: string): void => {
    stream.write(`${text}\n`);
  };
  return {
    json,
    printRows: (rows) => writeLine(json ? JSON.stringify(rows, undefined, 2) : formatTable(rows)),
    printResult: (message, value) => writeLine(json ? JSON.stringify(value) : message),
  };
};
