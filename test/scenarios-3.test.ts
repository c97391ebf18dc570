import { playScenarios } from './standin/play.js';

playScenarios(2, 4);
