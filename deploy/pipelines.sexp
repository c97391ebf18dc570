; The operators' own settings of a deployment that serves pipelines; see docs/pipelines.md.
(pipelines 1)
(pipeline-steps 1000)
(pipelines-per-team 200)
(held-steps 20000)
