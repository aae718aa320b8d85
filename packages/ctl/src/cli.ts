/** Entry point of the goldcrestctl binary. */
import { runCli } from '@goldcrestscale/runtime';
import { createCtlProgram } from './program.js';

await runCli(createCtlProgram());
