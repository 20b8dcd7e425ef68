#!/usr/bin/env node
/** Runs `goldcrestpierctl` with the arguments and streams of the process. */
import {runCtl} from '../program/program.js';

process.exitCode = await runCtl(process);
