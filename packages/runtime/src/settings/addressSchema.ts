import { z } from 'zod';

/** Host and port, for example "10.0.0.4:8080". */
export const addressSchema = z
  .string()
  .regex(/^[\w.:[\]-]+:\d{1,5}$/, 'use HOST:PORT, for example "10.0.0.4:8080"');
