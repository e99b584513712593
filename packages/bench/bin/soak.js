#!/usr/bin/env node
import '../dist/soak-main.js';
