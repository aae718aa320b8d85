import type { Writable } from 'node:stream';
import winston from 'winston';
import type { ClientAccountId, RequestId } from '@goldcrestscale/core';
import type { LogSettings } from './logSettings.js';
import { redactText, redactValue } from './redact.js';

/** Environment variable with the parts that log at debug level, for example "mesh,routing" or "*". */
export const DEBUG_VARIABLE = 'GOLDCREST_DEBUG';

/** Facts of a log line. Prompts, answers and keys are replaced by a mark. */
export interface LogFields {
  readonly requestId?: RequestId;
  readonly accountId?: ClientAccountId;
  readonly [name: string]: unknown;
}

/** Writes one line. */
export type LogMethod = (message: string, fields?: LogFields) => void;

/** Writes the log lines of one part. */
export interface Logger {
  readonly error: LogMethod;
  readonly warn: LogMethod;
  readonly info: LogMethod;
  readonly debug: LogMethod;
  /** Makes a logger whose lines all carry these fields. */
  createChild(fields: LogFields): Logger;
  /** Makes a logger with the prefix of another part and the same fields. */
  createPart(part: string): Logger;
}

/** How a logger is made. */
export interface LoggerOptions extends LogSettings {
  /** Prefix of the lines, for example "routing". */
  readonly part: string;
  /** Where lines go. @default process.stderr */
  readonly stream?: Writable;
  /** Parts that log at debug level. @default the variable GOLDCREST_DEBUG */
  readonly debugParts?: string;
}

interface LoggerScope {
  readonly part: string;
  readonly fields: LogFields;
}

type Level = LogSettings['level'];

const formatFact = (value: unknown): string =>
  typeof value === 'string' && /^\S+$/.test(value) ? value : JSON.stringify(value);

const formatHumanLine = (info: winston.Logform.TransformableInfo): string => {
  const { timestamp, level, message, ...fields } = info;
  const facts = Object.entries(fields)
    .filter(([name, value]) => name !== 'part' && value !== undefined)
    .map(([name, value]) => ` ${name}=${formatFact(value)}`)
    .join('');
  return `${String(timestamp)} ${level} ${String(message).replaceAll('\n', '\\n')}${facts}`;
};

const createFormat = (format: LogSettings['format']): winston.Logform.Format =>
  winston.format.combine(
    winston.format.timestamp(),
    format === 'json' ? winston.format.json() : winston.format.printf(formatHumanLine),
  );

const parseDebugParts = (text: string): ReadonlySet<string> =>
  new Set(
    text
      .split(',')
      .map((part) => part.trim())
      .filter((part) => part !== ''),
  );

const createScopedLogger = (
  sink: winston.Logger,
  level: Level,
  debugParts: ReadonlySet<string>,
  scope: LoggerScope,
): Logger => {
  const isDebug = debugParts.has(scope.part) || debugParts.has('*');
  const threshold = sink.levels[isDebug ? 'debug' : level] ?? 0;
  const writeLine = (lineLevel: Level, message: string, fields: LogFields = {}): void => {
    if ((sink.levels[lineLevel] ?? 0) > threshold) return;
    const facts = redactValue({ ...scope.fields, ...fields }) as Record<string, unknown>;
    // The line's own names come last, so that a field can't replace them.
    sink.log({
      ...facts,
      part: scope.part,
      level: lineLevel,
      message: `[${scope.part}] ${redactText(message)}`,
    });
  };
  return {
    error: (message, fields) => writeLine('error', message, fields),
    warn: (message, fields) => writeLine('warn', message, fields),
    info: (message, fields) => writeLine('info', message, fields),
    debug: (message, fields) => writeLine('debug', message, fields),
    createChild: (fields) =>
      createScopedLogger(sink, level, debugParts, {
        ...scope,
        fields: { ...scope.fields, ...fields },
      }),
    createPart: (part) => createScopedLogger(sink, level, debugParts, { ...scope, part }),
  };
};

/** Creates the logger of a part. */
export const createLogger = (options: LoggerOptions): Logger => {
  const sink = winston.createLogger({
    level: 'debug',
    levels: { error: 0, warn: 1, info: 2, debug: 3 },
    format: createFormat(options.format),
    transports: [new winston.transports.Stream({ stream: options.stream ?? process.stderr })],
  });
  const debugParts = parseDebugParts(options.debugParts ?? process.env[DEBUG_VARIABLE] ?? '');
  return createScopedLogger(sink, options.level, debugParts, { part: options.part, fields: {} });
};
