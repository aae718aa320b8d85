import { z } from 'zod';

/** Settings of the logs, under the key `log` of every binary. */
export const logSettingsSchema = z
  .strictObject({
    level: z
      .enum(['error', 'warn', 'info', 'debug'])
      .default('info')
      .describe('Least severe level that is written.'),
    format: z
      .enum(['json', 'human'])
      .default('json')
      .describe('Form of a line: one JSON object, or text for a person.'),
  })
  .prefault({})
  .describe('Logs.');

/** Settings of the logs. */
export type LogSettings = z.output<typeof logSettingsSchema>;
