/** Command line of the operators' tool. */
import { runCli } from '@goldcrestscale/runtime';
import { createCtlProgram } from './program.js';

await runCli(createCtlProgram());
